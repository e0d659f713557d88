#include "runs/endpoint_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hawthornwheel::runs {
namespace {

using std::chrono::milliseconds;

// Weight of a new run in the learned pace. Declared times are off by about
// 40%; ten runs bring the error of the mean near 10%.
constexpr double kPaceWeight = 0.12;
// A run that is overdue is measured by its progress, not by its end.
constexpr double kOverdueWeight = 0.25;
// Beyond this many declared run times a run counts as stuck, not as slow.
constexpr double kStuckRatio = 12;
constexpr double kLeastPace = 0.2;
constexpr double kMostPace = 20;
constexpr double kFailureWeight = 0.2;
constexpr int kFailuresInRow = 3;
constexpr double kMostFailureShare = 0.45;
constexpr base::Duration kFirstQuarantine = milliseconds(1500);
constexpr int kLongestQuarantineDoublings = 2;
constexpr base::Duration kRefusalPause = milliseconds(250);

}  // namespace

void EndpointHealth::RecordDone(base::Duration estimate,
                                base::Duration actual) {
  this->failures_in_row = 0;
  this->failure_share *= 1 - kFailureWeight;
  this->probing = false;
  if (this->failure_share < kMostFailureShare / 4) this->quarantines = 0;
  if (estimate <= base::Duration{0}) return;
  this->MovePace(static_cast<double>(actual.count()) /
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
  this->MovePace(ratio, kOverdueWeight);
}

void EndpointHealth::MovePace(double ratio, double weight) {
  const double bounded = std::clamp(ratio, kLeastPace, kMostPace);
  this->pace = std::exp((1 - weight) * std::log(this->pace) +
                        weight * std::log(bounded));
}

void EndpointHealth::RecordFailure(base::TimePoint now) {
  ++this->failures_in_row;
  this->failure_share += kFailureWeight * (1 - this->failure_share);
  const bool bad = this->probing || this->failures_in_row >= kFailuresInRow ||
                   this->failure_share > kMostFailureShare;
  if (!bad) return;
  const int doublings =
      std::min(this->quarantines, kLongestQuarantineDoublings);
  this->closed_until = now + kFirstQuarantine * (1 << doublings);
  ++this->quarantines;
  this->probing = true;
  this->failures_in_row = 0;
}

void EndpointHealth::RecordRefusal(base::TimePoint now) {
  this->closed_until = std::max(this->closed_until, now + kRefusalPause);
}

bool EndpointHealth::IsOpen(base::TimePoint now, int open_runs) const {
  if (now < this->closed_until) return false;
  return !this->probing || open_runs == 0;
}

}  // namespace hawthornwheel::runs
