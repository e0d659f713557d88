#pragma once

#include <optional>

#include "base/clock.h"

namespace hawthornwheel::runs {

/// What readings of a run's progress say of its end.
class RunProgress {
 public:
  /// A run that began at `started`.
  explicit RunProgress(base::TimePoint started);

  /// Takes a reading in percent; returns the whole run time that the run is
  /// heading for, or nothing while the reading tells too little.
  std::optional<base::Duration> AddReading(int percent, base::TimePoint now);

 private:
  base::TimePoint started;
  int last_percent = 0;
  base::TimePoint last_read;
};

}  // namespace hawthornwheel::runs
