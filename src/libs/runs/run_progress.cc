#include "runs/run_progress.h"

#include <chrono>

namespace hawthornwheel::runs {
namespace {

// Minimum interval between two readings. Progress is reported in whole
// percents, which is too coarse for shorter intervals.
constexpr base::Duration kMinReadingInterval = std::chrono::milliseconds(90);
constexpr int kWholePercent = 100;
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
  const int gained = percent - this->last_percent;
  const base::Duration remaining =
      gained <= 0 ? kStalledRemainder
                  : elapsed * (kWholePercent - percent) / gained;
  this->last_percent = percent;
  this->last_read = now;
  return age + remaining;
}

}  // namespace hawthornwheel::runs
