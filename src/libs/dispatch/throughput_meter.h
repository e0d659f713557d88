#pragma once

#include <cstdint>

#include "base/clock.h"

namespace hawthornwheel::dispatch {

/// Learns how fast a queue empties while it is never empty, which is the share
/// of the endpoints that it really gets beside all other queues.
class ThroughputMeter {
 public:
  /// Takes the start of one task, which leaves `queued` behind.
  void OnStart(base::TimePoint now, std::uint32_t queued);

  /// Takes the arrival of tasks in a queue that had `queued`.
  void OnArrival(base::TimePoint now, std::uint32_t queued);

  /// Starts a second; 0 while nothing is known.
  double Rate(base::TimePoint now) const;

 private:
  void AdvanceWindow(base::TimePoint now);

  base::TimePoint window_start;
  std::uint32_t starts = 0;
  bool busy = false;
  double rate = 0;
};

}  // namespace hawthornwheel::dispatch
