#include "runs/endpoint_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hawthornwheel::runs {
namespace {

using std::chrono::milliseconds;

// Weight of a new run in the learned pace. Declared run times are off by about
// 40%; averaging over ten runs reduces the error to about 10%.
constexpr double kPaceWeight = 0.12;
// Weight of an overdue run in the learned pace. Its run time is projected from
// its progress, since the run has not ended.
constexpr double kOverdueWeight = 0.25;
// A run projected to take more than this many times its declared run time
// counts as stuck: it is recorded as a failure and does not change the pace.
constexpr double kStuckRatio = 12;
// Bounds of one run's ratio of actual to declared run time.
constexpr double kMinPace = 0.2;
constexpr double kMaxPace = 20;
// Weight of a new run in the failure share.
constexpr double kFailureWeight = 0.2;
// This many failed runs in a row put the endpoint in quarantine.
constexpr int kConsecutiveFailureLimit = 3;
// A failure share above this puts the endpoint in quarantine.
constexpr double kMaxFailureShare = 0.45;
// Duration of the first quarantine. Each further one lasts twice as long as the
// one before, for at most kMaxQuarantineDoublings doublings.
constexpr base::Duration kFirstQuarantine = milliseconds(1500);
constexpr int kMaxQuarantineDoublings = 2;
constexpr base::Duration kRefusalBackoff = milliseconds(250);

}  // namespace

void EndpointHealth::RecordDone(base::Duration estimate,
                                base::Duration actual) {
  this->consecutive_failures = 0;
  this->failure_share *= 1 - kFailureWeight;
  this->probing = false;
  if (this->failure_share < kMaxFailureShare / 4) this->quarantines = 0;
  if (estimate <= base::Duration{0}) return;
  this->UpdatePace(static_cast<double>(actual.count()) /
                       static_cast<double>(estimate.count()),
                   kPaceWeight);
}

void EndpointHealth::RecordOverdue(base::TimePoint now, base::Duration estimate,
                                   base::Duration expected) {
  if (estimate <= base::Duration{0}) return;
  const double ratio = static_cast<double>(expected.count()) /
                       static_cast<double>(estimate.count());
  if (ratio > kStuckRatio) {
    this->RecordFailure(now);
    return;
  }
  this->UpdatePace(ratio, kOverdueWeight);
}

void EndpointHealth::UpdatePace(double ratio, double weight) {
  const double bounded = std::clamp(ratio, kMinPace, kMaxPace);
  this->pace = std::exp((1 - weight) * std::log(this->pace) +
                        weight * std::log(bounded));
  this->start_weight *= 1 - weight;
  this->pace_runs = std::min(this->pace_runs + 1, kMaxPaceRuns);
}

void EndpointHealth::SetStartPace(double new_start) {
  this->pace *= std::pow(new_start / this->start_pace, this->start_weight);
  this->start_pace = new_start;
}

void EndpointHealth::RecordRestart() {
  this->start_pace = this->pace;
  this->start_weight = 1;
  this->pace_runs = 0;
}

void EndpointHealth::RecordFailure(base::TimePoint now) {
  ++this->consecutive_failures;
  this->failure_share += kFailureWeight * (1 - this->failure_share);
  const bool quarantine =
      this->probing || this->consecutive_failures >= kConsecutiveFailureLimit ||
      this->failure_share > kMaxFailureShare;
  if (!quarantine) return;
  const int doublings = std::min(this->quarantines, kMaxQuarantineDoublings);
  this->blocked_until = now + kFirstQuarantine * (1 << doublings);
  ++this->quarantines;
  this->probing = true;
  this->consecutive_failures = 0;
}

void EndpointHealth::RecordRefusal(base::TimePoint now) {
  this->blocked_until = std::max(this->blocked_until, now + kRefusalBackoff);
}

bool EndpointHealth::IsOpen(base::TimePoint now, int active_runs) const {
  if (now < this->blocked_until) return false;
  return !this->probing || active_runs == 0;
}

}  // namespace hawthornwheel::runs
