#include "dispatch/health_controller.h"

#include <algorithm>

#include "base/logger.h"
#include "base/metrics.h"

namespace hawthornwheel::dispatch {
namespace {

constexpr base::Logger kLog("health");

constexpr double kSpeedGain = 0.1;
constexpr double kRunTimeGain = 0.02;
constexpr std::uint64_t kRunTimeWarmUp = 50;
constexpr double kEndpointFailureGain = 0.2;
constexpr double kServiceFailureGain = 0.02;
constexpr std::uint32_t kFailuresBeforeQuarantine = 3;
constexpr double kFailureShareForQuarantine = 0.4;
// A service that fails this much everywhere says nothing about one endpoint.
constexpr double kServiceFailureShareAtFault = 0.5;
// At least this share of a pool stays out of quarantine.
constexpr double kLeastPoolShare = 0.5;
constexpr std::uint32_t kProbesToReturn = 3;
constexpr std::uint32_t kMostQuarantineDoublings = 5;
constexpr double kLeastSlowness = 0.05;
constexpr double kMostSlowness = 20;

}  // namespace

HealthController::HealthController(base::Clock& clock, DispatchBoard& board,
                                   base::Metrics& metrics,
                                   const DispatchSettings& settings)
    : clock(clock), board(board), metrics(metrics), settings(settings) {}

void HealthController::OnOutcome(EndpointState& endpoint, ServiceLoad& load,
                                 AttemptOutcome outcome,
                                 base::Duration run_time) {
  switch (outcome) {
    case AttemptOutcome::kCompleted:
      this->OnSuccess(endpoint, load, run_time);
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kUnknown:
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kRefused:
      this->OnFailure(endpoint, load);
      break;
    case AttemptOutcome::kRefusedLeaving:
      break;
  }
}

void HealthController::OnSuccess(EndpointState& endpoint, ServiceLoad& load,
                                 base::Duration run_time) {
  ++endpoint.completed;
  ++load.completed;
  endpoint.failures_in_row = 0;
  endpoint.failure_share *= 1 - kEndpointFailureGain;
  load.failure_share *= 1 - kServiceFailureGain;
  const auto took = static_cast<double>(run_time.count());
  const auto mean = static_cast<double>(load.mean_run_time.count());
  // The mean starts as the average of what was seen, so that the first task
  // does not weigh for long.
  const double gain = std::max(
      kRunTimeGain,
      1.0 / static_cast<double>(std::min(load.completed, kRunTimeWarmUp)));
  const double at_mean_speed = took / endpoint.slowness;
  load.mean_run_time = base::Duration(
      static_cast<base::Duration::rep>(mean + gain * (at_mean_speed - mean)));
  if (mean > 0) {
    const double ratio = std::clamp(took / mean, kLeastSlowness, kMostSlowness);
    endpoint.slowness += kSpeedGain * (ratio - endpoint.slowness);
  }
  if (endpoint.health != EndpointHealth::kProbing) return;
  if (++endpoint.probe_successes < kProbesToReturn) return;
  endpoint.health = EndpointHealth::kHealthy;
  endpoint.quarantines = 0;
  kLog.Info("An endpoint returned to work. endpoint={}", endpoint.address);
}

void HealthController::OnFailure(EndpointState& endpoint, ServiceLoad& load) {
  ++endpoint.failed;
  ++endpoint.failures_in_row;
  endpoint.failure_share += kEndpointFailureGain * (1 - endpoint.failure_share);
  load.failure_share += kServiceFailureGain * (1 - load.failure_share);
  if (endpoint.health == EndpointHealth::kProbing) {
    this->Quarantine(endpoint);
    return;
  }
  if (endpoint.health == EndpointHealth::kQuarantined) return;
  if (endpoint.failures_in_row < kFailuresBeforeQuarantine) return;
  if (endpoint.failure_share < kFailureShareForQuarantine) return;
  if (this->MayQuarantine(endpoint, load)) this->Quarantine(endpoint);
}

bool HealthController::MayQuarantine(const EndpointState& endpoint,
                                     const ServiceLoad& load) const {
  if (load.failure_share > kServiceFailureShareAtFault) return false;
  std::size_t usable = 0;
  for (const EndpointState* other : load.pool) {
    const bool works =
        other->health == EndpointHealth::kHealthy && !other->leaving;
    if (works && other != &endpoint) ++usable;
  }
  return static_cast<double>(usable) >=
         kLeastPoolShare * static_cast<double>(load.pool.size());
}

void HealthController::Quarantine(EndpointState& endpoint) {
  const std::uint32_t doublings =
      std::min(endpoint.quarantines, kMostQuarantineDoublings);
  endpoint.health = EndpointHealth::kQuarantined;
  endpoint.quarantined_until =
      this->clock.Now() + this->settings.quarantine * (1U << doublings);
  endpoint.probe_successes = 0;
  ++endpoint.quarantines;
  this->metrics.Count("health.quarantines");
  kLog.Warning("An endpoint was quarantined. endpoint={} times={}",
               endpoint.address, endpoint.quarantines);
}

void HealthController::ReleaseQuarantines() {
  const base::TimePoint now = this->clock.Now();
  for (auto& [address, endpoint] : this->board.endpoints) {
    if (endpoint->health != EndpointHealth::kQuarantined) continue;
    if (now < endpoint->quarantined_until) continue;
    endpoint->health = EndpointHealth::kProbing;
    endpoint->failures_in_row = 0;
  }
}

}  // namespace hawthornwheel::dispatch
