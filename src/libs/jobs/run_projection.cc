#include "jobs/run_projection.h"

#include <algorithm>
#include <cmath>

#include "jobs/log_normal.h"

namespace hawthornwheel::jobs {
namespace {

constexpr double kWholePercent = 100;
// Greatest error of a reading that is rounded to whole percents, and of the
// difference of two readings.
constexpr double kReadingError = 0.5;
constexpr double kDifferenceError = 1;
// Standard deviation of the logarithm of the remaining run time when the
// progress is known exactly. At 0.116, none of 49 runs with a chance below 0.1
// ended in time, so their callers waited in vain.
constexpr double kRunLogStdDev = 0.06;
// Number of values of the progress, spread evenly over those that have the same
// rounded value, for which the probability is computed.
constexpr int kProgressSteps = 9;

}  // namespace

void RunProjection::Add(base::Duration age, base::Duration expected) {
  const auto new_age = static_cast<double>(age.count());
  const double elapsed = new_age - this->age;
  const double remaining = static_cast<double>(expected.count()) - new_age;
  if (elapsed <= 0 || remaining <= 0) return;
  // The inverse of remaining = elapsed * (100 - percent) / gained.
  const double new_percent =
      (kWholePercent * elapsed + remaining * this->percent) /
      (elapsed + remaining);
  this->interval = elapsed;
  this->gained = new_percent - this->percent;
  this->max_error = this->age > 0 ? kDifferenceError : kReadingError;
  this->age = new_age;
  this->percent = new_percent;
  // A run of constant speed is described best by its whole progress. One that
  // became slower or faster than the rounding explains is described by its
  // latest progress.
  const double whole_gained = this->gained * this->age / this->interval;
  const double tolerance = this->max_error * this->age / this->interval;
  if (std::abs(whole_gained - this->percent) > tolerance) return;
  this->interval = this->age;
  this->gained = this->percent;
  this->max_error = kReadingError;
}

double RunProjection::ChanceToEndIn(base::Duration left) const {
  if (this->interval <= 0) return 1;
  const auto left_us = static_cast<double>(left.count());
  double sum = 0;
  for (int step = 0; step < kProgressSteps; ++step) {
    const double error =
        this->max_error * (2.0 * step + 1 - kProgressSteps) / kProgressSteps;
    const double progress = this->gained + error;
    if (progress <= 0) continue;
    const double remaining = std::max(
        this->interval * (kWholePercent - this->percent) / progress, 1.0);
    sum += ProbabilityBelow(left_us / remaining, kRunLogStdDev);
  }
  return sum / kProgressSteps;
}

}  // namespace hawthornwheel::jobs
