#pragma once

#include <optional>

#include "base/clock.h"

namespace hawthornwheel::runs {

/// Projects the run time of a run from readings of its progress.
class RunProgress {
 public:
  /// Tracks a run that started at `started`.
  explicit RunProgress(base::TimePoint started);

  /// Adds a progress reading in percent. Returns the projected total run
  /// time, or nothing when too little time has passed for a projection.
  std::optional<base::Duration> AddReading(int percent, base::TimePoint now);

 private:
  base::TimePoint started;
  int last_percent = 0;
  /// Progress at the last reading in half percents: the middle of the percent
  /// that was reported, or 0 at the start.
  int last_half_percents = 0;
  base::TimePoint last_read;
};

}  // namespace hawthornwheel::runs
