#include "support/hosted_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hawthornwheel::testing {
namespace {

constexpr std::int64_t kTaskCpuMilli = 6'800;
constexpr std::int64_t kTaskMemoryMb = 64;
// Interval at which an endpoint writes its record.
constexpr base::Duration kEntryRetry{500'000};

}  // namespace

HostedFleet::HostedFleet(std::uint64_t seed)
    : random(seed),
      network(this->clock, this->random),
      store(this->clock),
      endpoints(this->clock, this->random) {}

HostedFleet::~HostedFleet() = default;

void HostedFleet::AddEndpoint(const std::string& id, const std::string& domain,
                              std::int64_t cpu_milli, double pace,
                              double clock_rate, const std::string& label) {
  catalog::EndpointEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.address = id;
  entry.domain = domain;
  entry.capacity = {cpu_milli, 32'768, 0};
  if (!label.empty()) entry.labels.push_back(label);
  this->endpoints.Add(entry, pace, clock_rate);
  this->entries[id] = {domain, cpu_milli, id, false, entry.labels};
  this->WriteEntry(id);
}

void HostedFleet::WriteEntry(const std::string& id) {
  const EndpointRecord& record = this->entries.at(id);
  std::string value = fmt::format("{} {} address={}", record.domain,
                                  record.cpu_milli, record.address);
  if (this->entries_name_start) {
    value += fmt::format(" start={}", this->endpoints.IncarnationOf(id));
  }
  if (record.draining) value += " draining";
  for (const std::string& label : record.labels) value += " label=" + label;
  this->store.Write(catalog::Topic::kEndpoints, id, value);
}

void HostedFleet::PublishEntry(const std::string& id) {
  if (this->endpoints.IsDown(id)) return;
  if (!this->store.IsDown("")) {
    this->WriteEntry(id);
    return;
  }
  this->clock.StartTimer(kEntryRetry, [this, id] { this->PublishEntry(id); });
}

void HostedFleet::RestartEndpoint(const std::string& id,
                                  LeasedEndpoints::CrashKind kind,
                                  base::Duration downtime) {
  if (this->endpoints.IsDown(id)) return;
  this->endpoints.Crash(id, kind);
  this->clock.StartTimer(downtime, [this, id] {
    this->endpoints.Recover(id);
    this->PublishEntry(id);
  });
}

void HostedFleet::ReplaceEndpoint(const std::string& id,
                                  const std::string& new_id,
                                  LeasedEndpoints::CrashKind kind,
                                  base::Duration downtime,
                                  base::Duration expiry) {
  if (this->endpoints.IsDown(id)) return;
  this->endpoints.Crash(id, kind);
  this->clock.StartTimer(downtime, [this, id, new_id, expiry] {
    this->endpoints.Replace(id, new_id);
    this->entries[new_id] = this->entries.at(id);
    this->PublishEntry(new_id);
    this->clock.StartTimer(expiry, [this, id] { this->DeleteEntry(id); });
  });
}

void HostedFleet::SetDraining(const std::string& id, bool draining) {
  this->entries.at(id).draining = draining;
  this->WriteEntry(id);
}

void HostedFleet::SetLabels(const std::string& id,
                            std::vector<std::string> labels) {
  this->entries.at(id).labels = std::move(labels);
  this->WriteEntry(id);
}

void HostedFleet::DeleteEntry(const std::string& id) {
  this->store.Write(catalog::Topic::kEndpoints, id, "");
}

void HostedFleet::Publish(const std::string& configuration) {
  this->store.Write(catalog::Topic::kConfiguration, "config", configuration);
}

void HostedFleet::SetEvacuated(const std::string& domain, bool evacuated) {
  this->store.Write(catalog::Topic::kConfiguration, "out:" + domain,
                    evacuated ? "{}" : "");
}

HostedProcess& HostedFleet::AddProcess(const std::string& name,
                                       const std::string& domain,
                                       std::uint32_t weight) {
  this->processes.push_back(std::make_unique<HostedProcess>(
      this->clock, this->network, this->store, this->endpoints, name, domain,
      fmt::format("{}#{}", name, this->next_incarnation++), weight));
  return *this->processes.back();
}

HostedProcess& HostedFleet::Process(const std::string& name) {
  return **std::find_if(
      this->processes.begin(), this->processes.end(),
      [&name](const auto& process) { return process->name == name; });
}

bool HostedFleet::IsUp(const std::string& name) const {
  return std::any_of(
      this->processes.begin(), this->processes.end(),
      [&name](const auto& process) { return process->name == name; });
}

void HostedFleet::Kill(const std::string& name) {
  std::erase_if(this->processes,
                [&name](const auto& process) { return process->name == name; });
}

std::shared_ptr<std::optional<jobs::JobAnswer>> HostedFleet::Submit(
    const std::string& process, const std::string& path, int tasks,
    base::Duration time, runs::RunEndKind kind) {
  return this->SubmitWithEstimate(process, path, tasks, time, time, kind);
}

jobs::JobRequest HostedFleet::NewRequest(const std::string& path, int tasks,
                                         base::Duration time,
                                         base::Duration estimate,
                                         runs::RunEndKind kind) {
  jobs::JobRequest request;
  request.id = fmt::format("{:016x}", this->next_job++);
  request.host = "h";
  request.path = path + request.id;
  request.payload = request.id;
  request.task_count = tasks;
  request.resources = {kTaskCpuMilli, kTaskMemoryMb, 0};
  request.estimate = estimate;
  this->endpoints.SetTask(request.payload, time, kind);
  this->endpoints.SetCpu(request.payload, kTaskCpuMilli);
  return request;
}

std::shared_ptr<std::optional<jobs::JobAnswer>> HostedFleet::SubmitWithEstimate(
    const std::string& process, const std::string& path, int tasks,
    base::Duration time, base::Duration estimate, runs::RunEndKind kind) {
  const jobs::JobRequest request =
      this->NewRequest(path, tasks, time, estimate, kind);
  auto answer = std::make_shared<std::optional<jobs::JobAnswer>>();
  this->Process(process).relay.Submit(
      request, [answer](const jobs::JobAnswer& given) { *answer = given; });
  return answer;
}

std::string HostedFleet::SubmitAndGetId(const std::string& process,
                                        const std::string& path, int tasks,
                                        base::Duration time) {
  std::string id = fmt::format("{:016x}", this->next_job);
  this->Submit(process, path, tasks, time);
  return id;
}

int HostedFleet::HoldersOf(const std::string& id) const {
  int holders = 0;
  for (const auto& process : this->processes) {
    const auto found = process->pool.Sessions().find(id);
    if (found != process->pool.Sessions().end() && found->second->IsOpen()) {
      ++holders;
    }
  }
  return holders;
}

}  // namespace hawthornwheel::testing
