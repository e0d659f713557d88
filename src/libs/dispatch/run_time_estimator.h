#pragma once

#include <cstdint>

#include "base/clock.h"

namespace hawthornwheel::dispatch {

/// Learns how long the tasks of one service run at an endpoint of mean speed.
/// Declared run times may be far off, so they are scaled by a learned ratio and
/// used only while they predict better than the mean.
class RunTimeEstimator {
 public:
  /// Learns from one completed task. `declared` is 0 when the caller declared
  /// no run time. `run_time` is the actual run time, already divided by the
  /// slowness of the endpoint.
  void Observe(base::Duration declared, base::Duration run_time);

  /// Returns the expected run time of a task, or the declared one before the
  /// first observation.
  base::Duration Expect(base::Duration declared) const;

  /// Returns the learned mean, or 0 before the first observation.
  base::Duration Mean() const;

 private:
  std::uint64_t observations = 0;
  /// Mean run time, in microseconds.
  double mean = 0;
  /// Ratio of actual to declared run times.
  double declared_ratio = 1;
  /// Recent mean errors of both predictions, in microseconds.
  double mean_error = 0;
  double declared_error = 0;
};

}  // namespace hawthornwheel::dispatch
