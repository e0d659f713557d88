#pragma once

#include <optional>

#include "base/clock.h"

namespace hawthornwheel::jobs {

/// Holds the state of a task's wait for a better endpoint than the best free
/// one; see PlacementWait.
struct TaskWait {
  /// Time at which the wait began; empty when the task has not waited since
  /// its latest placement.
  std::optional<base::TimePoint> since;
  /// Time at which the task stops waiting. Valid when `since` is set.
  base::TimePoint until;
  /// Set when the wait has ended without the better endpoint. The task then
  /// takes the best free one and does not wait again before it is placed.
  bool over = false;
};

}  // namespace hawthornwheel::jobs
