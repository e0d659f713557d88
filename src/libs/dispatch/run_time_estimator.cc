#include "dispatch/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace hawthornwheel::dispatch {
namespace {

// Weight of a new observation in the moving averages.
constexpr double kGain = 0.02;
constexpr std::uint64_t kWarmUpObservations = 50;
// Bounds of one observed ratio of actual to declared run time.
constexpr double kMinRatio = 1e-4;
constexpr double kMaxRatio = 1e4;

base::Duration ToDuration(double microseconds) {
  return base::Duration(static_cast<base::Duration::rep>(microseconds));
}

}  // namespace

void RunTimeEstimator::Observe(base::Duration declared,
                               base::Duration run_time) {
  ++this->observations;
  // During the warm-up, all observations have the same weight.
  const double gain =
      std::max(kGain, 1.0 / static_cast<double>(std::min(this->observations,
                                                         kWarmUpObservations)));
  const auto actual_us = static_cast<double>(run_time.count());
  this->mean_error +=
      gain * (std::abs(actual_us - this->mean) - this->mean_error);
  this->mean += gain * (actual_us - this->mean);
  const auto declared_us = static_cast<double>(declared.count());
  if (declared_us <= 0) {
    // Any larger error than that of the mean makes Expect() use the mean.
    this->declared_error = this->mean_error + 1;
    return;
  }
  const double predicted_us = declared_us * this->declared_ratio;
  this->declared_error +=
      gain * (std::abs(actual_us - predicted_us) - this->declared_error);
  const double ratio =
      std::clamp(actual_us / declared_us, kMinRatio, kMaxRatio);
  this->declared_ratio += gain * (ratio - this->declared_ratio);
}

base::Duration RunTimeEstimator::Expect(base::Duration declared) const {
  if (this->observations == 0) return declared;
  const bool trust_declared =
      declared.count() > 0 && this->declared_error < this->mean_error;
  if (!trust_declared) return this->Mean();
  return ToDuration(static_cast<double>(declared.count()) *
                    this->declared_ratio);
}

base::Duration RunTimeEstimator::Mean() const { return ToDuration(this->mean); }

}  // namespace hawthornwheel::dispatch
