#pragma once

#include <cstdint>

#include "base/clock.h"

namespace hawthornwheel::dispatch {

/// Estimates the start rate of a queue while it is not empty. This rate
/// reflects the share of the endpoints that the queue gets in competition with
/// all other queues.
class ThroughputMeter {
 public:
  /// Records the start of one task, after which `queued` tasks remain.
  void OnStart(base::TimePoint now, std::uint32_t queued);

  /// Records the arrival of tasks in a queue that held `queued` tasks before.
  void OnArrival(base::TimePoint now, std::uint32_t queued);

  /// Returns the estimated rate in starts per second; 0 when there is none.
  double Rate(base::TimePoint now) const;

 private:
  void AdvanceWindow(base::TimePoint now);

  base::TimePoint window_start;
  std::uint32_t starts = 0;
  /// Whether the queue is in a busy period, in which it is never empty.
  bool busy = false;
  /// Starts per second; 0 while there is no estimate.
  double rate = 0;
};

}  // namespace hawthornwheel::dispatch
