#include "support/hosted_fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace hawthornwheel::testing {
namespace {

constexpr std::int64_t kTaskCpuMilli = 6'800;
constexpr std::int64_t kTaskMemoryMb = 64;

}  // namespace

HostedFleet::HostedFleet(std::uint64_t seed)
    : random(seed),
      network(this->clock, this->random),
      store(this->clock),
      endpoints(this->clock, this->random) {}

HostedFleet::~HostedFleet() = default;

void HostedFleet::AddEndpoint(const std::string& id, const std::string& domain,
                              std::int64_t cpu_milli, double pace) {
  catalog::EndpointEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.address = id;
  entry.domain = domain;
  entry.capacity = {cpu_milli, 32'768, 0};
  this->endpoints.Add(entry, pace);
  this->entries[id] = fmt::format("{} {}", domain, cpu_milli);
  this->store.Write(catalog::Topic::kEndpoints, id, this->entries[id]);
}

void HostedFleet::SetDraining(const std::string& id, bool draining) {
  this->store.Write(catalog::Topic::kEndpoints, id,
                    this->entries[id] + (draining ? " draining" : ""));
}

void HostedFleet::DeleteEntry(const std::string& id) {
  this->store.Write(catalog::Topic::kEndpoints, id, "");
}

void HostedFleet::Publish(const std::string& configuration) {
  this->store.Write(catalog::Topic::kConfiguration, "config", configuration);
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

std::shared_ptr<std::optional<jobs::JobAnswer>> HostedFleet::SubmitWithEstimate(
    const std::string& process, const std::string& path, int tasks,
    base::Duration time, base::Duration estimate, runs::RunEndKind kind) {
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
