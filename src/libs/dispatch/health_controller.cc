#include "dispatch/health_controller.h"

#include <algorithm>
#include <chrono>

#include "base/logger.h"
#include "base/metrics.h"

namespace hawthornwheel::dispatch {
namespace {

constexpr base::Logger kLog("health");

// Weights of a new observation in the moving averages.
constexpr double kSlownessGain = 0.1;
constexpr double kEndpointFailureGain = 0.2;
constexpr double kServiceFailureGain = 0.02;
constexpr std::uint32_t kFailuresBeforeQuarantine = 3;
constexpr double kFailureShareForQuarantine = 0.4;
// Failure share above which the service itself counts as faulty. Its failures
// then say nothing about one endpoint, so no endpoint is quarantined for them.
constexpr double kFaultyServiceFailureShare = 0.5;
// A quarantine must leave at least this share of the pool available.
constexpr double kMinAvailablePoolShare = 0.5;
constexpr std::uint32_t kProbeSuccessesToRecover = 3;
constexpr base::Duration kInitialRefusalBackoff = std::chrono::milliseconds(50);
constexpr std::uint32_t kMaxRefusalDoublings = 5;
constexpr std::uint32_t kMaxQuarantineDoublings = 5;
// Bounds of one observed ratio of actual to expected run time.
constexpr double kMinSlowness = 0.05;
constexpr double kMaxSlowness = 20;

}  // namespace

HealthController::HealthController(base::Clock& clock, DispatchBoard& board,
                                   base::Metrics& metrics,
                                   const DispatchSettings& settings)
    : clock(clock), board(board), metrics(metrics), settings(settings) {}

void HealthController::OnOutcome(const Attempt& attempt,
                                 AttemptOutcome outcome) {
  ServiceLoad& load = this->board.services[attempt.service->name];
  switch (outcome) {
    case AttemptOutcome::kCompleted:
      this->OnSuccess(attempt, load);
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kUnknown:
    case AttemptOutcome::kNotSent:
      this->OnFailure(*attempt.endpoint, load);
      break;
    case AttemptOutcome::kRefused:
      this->OnRefusal(*attempt.endpoint);
      break;
    case AttemptOutcome::kRefusedLeaving:
      break;
  }
}

void HealthController::OnSuccess(const Attempt& attempt, ServiceLoad& load) {
  EndpointState& endpoint = *attempt.endpoint;
  ++endpoint.completed;
  endpoint.failures_in_row = 0;
  endpoint.refusals_in_row = 0;
  endpoint.failure_share *= 1 - kEndpointFailureGain;
  load.failure_share *= 1 - kServiceFailureGain;
  const base::Duration elapsed = this->clock.Now() - attempt.started_at;
  const base::Duration expected =
      load.run_time.Mean().count() > 0
          ? load.run_time.Expect(attempt.declared_run_time)
          : base::Duration{0};
  load.run_time.Observe(
      attempt.declared_run_time,
      base::Duration(static_cast<base::Duration::rep>(
          static_cast<double>(elapsed.count()) / endpoint.slowness)));
  if (expected.count() > 0) {
    const double ratio = std::clamp(static_cast<double>(elapsed.count()) /
                                        static_cast<double>(expected.count()),
                                    kMinSlowness, kMaxSlowness);
    endpoint.slowness += kSlownessGain * (ratio - endpoint.slowness);
  }
  this->OnProbeSuccess(endpoint);
}

void HealthController::OnProbeSuccess(EndpointState& endpoint) {
  if (endpoint.health != EndpointHealth::kProbing) return;
  if (++endpoint.probe_successes < kProbeSuccessesToRecover) return;
  endpoint.health = EndpointHealth::kHealthy;
  endpoint.quarantines = 0;
  kLog.Info("An endpoint left quarantine. endpoint={}", endpoint.address);
}

void HealthController::OnRefusal(EndpointState& endpoint) {
  const std::uint32_t doublings =
      std::min(endpoint.refusals_in_row, kMaxRefusalDoublings);
  endpoint.refused_until =
      this->clock.Now() + kInitialRefusalBackoff * (1U << doublings);
  ++endpoint.refusals_in_row;
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
  if (load.failure_share > kFaultyServiceFailureShare) return false;
  std::size_t usable = 0;
  for (const EndpointState* other : load.pool) {
    const bool available =
        other->health == EndpointHealth::kHealthy && !other->leaving;
    if (available && other != &endpoint) ++usable;
  }
  return static_cast<double>(usable) >=
         kMinAvailablePoolShare * static_cast<double>(load.pool.size());
}

void HealthController::Quarantine(EndpointState& endpoint) {
  const std::uint32_t doublings =
      std::min(endpoint.quarantines, kMaxQuarantineDoublings);
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
