#include "runs/run_progress.h"

#include <chrono>

namespace hawthornwheel::runs {
namespace {

// Progress is told in whole percents; shorter spans tell too little.
constexpr base::Duration kMinReadingInterval = std::chrono::milliseconds(90);
constexpr int kWholePercent = 100;
// Expected rest of a run that makes no progress.
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
  // From the pace since the last reading, so that a run that stands still
  // after a good start is seen.
  const int gained = percent - this->last_percent;
  const base::Duration remaining =
      gained <= 0 ? kStalledRemainder
                  : elapsed * (kWholePercent - percent) / gained;
  this->last_percent = percent;
  this->last_read = now;
  return age + remaining;
}

}  // namespace hawthornwheel::runs
