#include "support/small_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace hawthornwheel::testing {

using std::chrono::milliseconds;

SmallFleet::SmallFleet(std::uint64_t seed)
    : random(seed),
      network(this->clock, this->random),
      endpoints(this->clock, this->random),
      environment{this->clock, this->random, this->network, this->platform,
                  this->endpoints} {
  this->fleet_settings.cluster = "test";
  this->platform.vms.set_version(1);
}

SmallFleet::~SmallFleet() = default;

FakeEndpoint& SmallFleet::AddEndpoint(const std::string& address,
                                      const std::string& domain,
                                      double slowness) {
  this->specs.push_back(address + "@" + domain);
  return this->endpoints.Add(address, slowness);
}

void SmallFleet::Publish(const std::string& extra_lines) {
  wire::LogRecord record;
  record.set_id(fmt::format("publish-{}", this->generation));
  wire::ServiceChange* change = record.mutable_change()->add_changes();
  change->set_service("s");
  change->set_base_generation(this->generation);
  // "team" is the product's name for an organisation.
  change->set_content(fmt::format(
      "[service]\nname = s\nteam = t\n[endpoints]\naddresses = {}\n{}",
      fmt::join(this->specs, ","), extra_lines));
  this->generation =
      1 + this->platform.log.Append(record.SerializeAsString(),
                                    this->clock.WallMilliseconds());
}

TestProcess& SmallFleet::AddProcess(const std::string& name,
                                    const std::string& domain,
                                    const std::string& address) {
  this->processes.push_back(std::make_unique<TestProcess>(
      this->environment, name, domain, address.empty() ? name + ":1" : address,
      this->fleet_settings, this->dispatch_settings));
  this->processes.back()->dispatcher.Start();
  return *this->processes.back();
}

void SmallFleet::Kill(const std::string& name) {
  std::erase_if(this->processes, [&](const auto& process) {
    return process->incarnation == name;
  });
}

TestProcess& SmallFleet::Process(const std::string& name) {
  return **std::find_if(
      this->processes.begin(), this->processes.end(),
      [&](const auto& process) { return process->incarnation == name; });
}

std::shared_ptr<wire::JobAnswer> SmallFleet::Submit(const std::string& process,
                                                    int tasks,
                                                    base::Duration run_time,
                                                    base::Duration timeout,
                                                    const std::string& key) {
  wire::SubmitRequest request;
  request.set_key(key);
  request.set_team("t");
  request.set_service("s");
  request.set_timeout_ms(static_cast<std::uint32_t>(timeout / milliseconds(1)));
  for (int i = 0; i < tasks; ++i) {
    request.add_tasks()->set_payload(
        fmt::format("{}:task {}", run_time.count(), i));
  }
  auto answer = std::make_shared<wire::JobAnswer>();
  this->Process(process).dispatcher.Jobs().Submit(
      request, timeout + std::chrono::seconds(1),
      [answer](const wire::JobAnswer& final_answer) {
        *answer = final_answer;
      });
  return answer;
}

std::uint64_t SmallFleet::Starts() const {
  std::uint64_t starts = 0;
  for (const auto& [task, count] : this->endpoints.Starts()) starts += count;
  return starts;
}

}  // namespace hawthornwheel::testing
