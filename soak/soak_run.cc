#include "soak/soak_run.h"

#include <fmt/format.h>

#include <chrono>

namespace hawthornwheel::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kWarmUpTime = milliseconds(2'500);
// The users' limit for the time until jobs are served again after a total
// failure.
constexpr base::Duration kRecoveryTime = seconds(12);
// Time for which one domain stays evacuated after the recovery, so that starts
// there are late by any limit.
constexpr base::Duration kEvacuationTime = seconds(3);
// All domains are in use. With a domain evacuated, one job that is made to fail
// can quarantine most of the other endpoints (seed 9102). Long enough for each
// domain to get a task: of 17 jobs on average, a third arrive there.
constexpr base::Duration kFaultFreeTime = seconds(6);
// Covers the longest wait of a caller and the leases of the tasks that are
// still running then.
constexpr base::Duration kDrainTime = seconds(6);
// Below 1 because random load peaks can cause refusals although the average
// load is far below the capacity. Jobs that are made to fail are not counted.
constexpr double kMinCompletedShare = 0.9;

}  // namespace

SoakRun::SoakRun(base::Clock& clock, const SoakOptions& options,
                 std::function<void()> on_end)
    : environment(clock, options),
      callers(this->environment),
      fault_plan(this->environment),
      evacuation_plan(this->environment),
      on_end(std::move(on_end)),
      timer(clock) {}

void SoakRun::Start() {
  this->timer.StartOnce(kWarmUpTime, [this] {
    this->callers.Start();
    this->fault_plan.Start();
    this->evacuation_plan.Start();
    this->timer.StartOnce(this->environment.options.fault_duration,
                          [this] { this->EndFaults(); });
  });
}

void SoakRun::EndFaults() {
  this->fault_plan.EndAllFaults();
  this->evacuation_plan.EndFaults();
  this->callers.ReduceRate();
  this->timer.StartOnce(kRecoveryTime + kEvacuationTime, [this] {
    this->evacuation_plan.EndEvacuation();
    this->fault_free_since = this->environment.clock.Now();
    this->timer.StartOnce(kFaultFreeTime, [this] { this->EndLoad(); });
  });
}

void SoakRun::EndLoad() {
  this->callers.Stop();
  this->timer.StartOnce(kDrainTime, [this] {
    this->callers.CheckRoutes([this](std::vector<std::string> route_findings) {
      this->findings = std::move(route_findings);
      this->Check();
      this->on_end();
    });
  });
}

void SoakRun::Check() {
  const auto add = [this](const std::vector<std::string>& more) {
    this->findings.insert(this->findings.end(), more.begin(), more.end());
  };
  add(this->environment.leased_endpoints.Violations());
  add(this->callers.Violations());
  add(this->fault_plan.UnexpectedExits());
  add(this->evacuation_plan.Violations());
  const double completed_share =
      this->callers.CompletedShareSince(this->fault_free_since);
  if (completed_share < kMinCompletedShare) {
    this->findings.push_back(fmt::format(
        "only a share of {:.2f} of the jobs was completed after the faults",
        completed_share));
  }
  if (this->callers.OpenRequests() > 0) {
    this->findings.push_back(
        fmt::format("{} requests got no answer", this->callers.OpenRequests()));
  }
  for (const auto& endpoint : this->environment.endpoints) {
    const std::size_t running_tasks =
        this->environment.leased_endpoints.RunningAt(endpoint->id);
    if (running_tasks == 0) continue;
    this->findings.push_back(
        fmt::format("{} still runs {} tasks", endpoint->id, running_tasks));
  }
}

std::string SoakRun::Summary() const {
  return fmt::format(
      "{} starts={} faults={} {} calm_served={:.3f} findings={}",
      this->callers.Summary(), this->environment.leased_endpoints.Starts(),
      this->fault_plan.FaultCount(), this->evacuation_plan.Summary(),
      this->callers.CompletedShareSince(this->fault_free_since),
      this->findings.size());
}

}  // namespace hawthornwheel::soak
