#pragma once

#include "base/clock.h"

namespace hawthornwheel::runs {

/// What the outcomes at one endpoint tell of it: how fast it is, and whether
/// it should get work at present.
class EndpointHealth {
 public:
  /// A task ended well after `actual`, declared as `estimate`.
  void RecordDone(base::Duration estimate, base::Duration actual);

  /// A run failed.
  void RecordFailure(base::TimePoint now);

  /// A run declared as `estimate` is heading for `expected` and ends too late.
  void RecordOverdue(base::TimePoint now, base::Duration estimate,
                     base::Duration expected);

  /// The endpoint refused a start for load.
  void RecordRefusal(base::TimePoint now);

  /// Whether it should get work. After a quarantine single runs come first.
  bool IsOpen(base::TimePoint now, int active_runs) const;

  /// Learned run time against the declared one.
  double Pace() const { return this->pace; }

 private:
  void UpdatePace(double ratio, double weight);

  double pace = 1;
  /// Moving share of runs that failed.
  double failure_share = 0;
  int consecutive_failures = 0;
  int quarantines = 0;
  bool probing = false;
  base::TimePoint blocked_until;
};

}  // namespace hawthornwheel::runs
