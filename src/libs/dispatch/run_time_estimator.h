#pragma once

#include <cstdint>

#include "base/clock.h"

namespace hawthornwheel::dispatch {

/// Learns how long tasks of one service take at an endpoint of mean speed.
/// Declared run times may be far off: they are scaled by what was learned, and
/// used only while they predict better than the mean does.
class RunTimeEstimator {
 public:
  /// Takes one task's run time, divided by the slowness of its endpoint.
  void Observe(base::Duration declared, base::Duration run_time);

  /// Expected run time of a task; the declared one while nothing is learned.
  base::Duration Expect(base::Duration declared) const;

  /// Learned mean; 0 while nothing is learned.
  base::Duration Mean() const;

 private:
  std::uint64_t observations = 0;
  double mean = 0;
  double declared_ratio = 1;
  /// Recent mean errors of both predictions, in microseconds.
  double mean_error = 0;
  double declared_error = 0;
};

}  // namespace hawthornwheel::dispatch
