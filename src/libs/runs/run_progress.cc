#include "runs/run_progress.h"

#include <algorithm>
#include <chrono>

namespace hawthornwheel::runs {
namespace {

// Minimum interval between two readings. Progress is reported in whole
// percents, which is too coarse for shorter intervals.
constexpr base::Duration kMinReadingInterval = std::chrono::milliseconds(90);
// Progress is reported in whole percents, rounded down. The projection uses the
// middle of the reported percent: with its lower end, a run at 10% would be
// projected to take 5% too long.
constexpr int kHalfPercents = 200;
constexpr int MiddleInHalfPercents(int percent) { return 2 * percent + 1; }
// Projected remaining time of a run that makes no progress.
constexpr base::Duration kStalledRemainder = std::chrono::seconds(60);

}  // namespace

RunProgress::RunProgress(base::TimePoint started)
    : started(started), last_read(started) {}

std::optional<base::Duration> RunProgress::AddReading(int percent,
                                                      base::TimePoint now) {
  const base::Duration age = now - this->started;
  const base::Duration elapsed = now - this->last_read;
  if (age < kMinReadingInterval || elapsed < kMinReadingInterval)
    return std::nullopt;
  // The projection uses the progress since the last reading, so that a run that
  // stalls after a fast start is detected.
  const bool stalled = percent <= this->last_percent;
  const int progress = MiddleInHalfPercents(percent);
  const base::Duration remaining =
      stalled ? kStalledRemainder
              : elapsed * std::max(kHalfPercents - progress, 0) /
                    (progress - this->last_half_percents);
  this->last_percent = percent;
  this->last_half_percents = progress;
  this->last_read = now;
  return age + remaining;
}

}  // namespace hawthornwheel::runs
