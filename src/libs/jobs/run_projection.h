#pragma once

#include "base/clock.h"

namespace hawthornwheel::jobs {

/// Combines the projections of one run, which follow from readings of its
/// progress in whole percents, and tells how likely it is to end in time.
class RunProjection {
 public:
  /// Adds the projected total run time after `age`. Projections follow the
  /// progress since the reading before.
  void Add(base::Duration age, base::Duration expected);

  /// Returns the probability that the run ends within `left` from the latest
  /// projection. Includes the rounding of the progress and the variation of the
  /// run itself.
  double ChanceToEndIn(base::Duration left) const;

 private:
  /// Age at the latest projection in microseconds, and the progress in percent
  /// that it was computed from.
  double age = 0;
  double percent = 0;
  /// Interval and progress in it that the remaining time follows from, and the
  /// rounding error of that progress, in either direction.
  double interval = 0;
  double gained = 0;
  double max_error = 0;
};

}  // namespace hawthornwheel::jobs
