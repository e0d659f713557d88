#pragma once

#include "base/clock.h"

namespace hawthornwheel::runs {

/// Tracks the health of one endpoint from the outcomes of its runs: its learned
/// pace, and whether new runs may be sent to it.
class EndpointHealth {
 public:
  /// Records a run that succeeded after `actual` and was declared to take
  /// `estimate`.
  void RecordDone(base::Duration estimate, base::Duration actual);

  /// Records a failed run. Repeated failures put the endpoint in quarantine.
  void RecordFailure(base::TimePoint now);

  /// Records a run that was declared to take `estimate` and is projected to
  /// take `expected`, which misses its deadline. A stuck run counts as failed.
  void RecordOverdue(base::TimePoint now, base::Duration estimate,
                     base::Duration expected);

  /// Records that the endpoint refused to start a run because of its load.
  void RecordRefusal(base::TimePoint now);

  /// Returns whether new runs may be sent to the endpoint. After a quarantine,
  /// one run at a time is allowed until one succeeds.
  bool IsOpen(base::TimePoint now, int active_runs) const;

  /// Returns the learned ratio of the actual to the declared run time.
  double Pace() const { return this->pace; }

  /// Returns the number of runs behind the pace, at most kMaxPaceRuns.
  int PaceRuns() const { return this->pace_runs; }

  /// Replaces the value at which the learned pace began, for example by that of
  /// similar endpoints. What has been learned since keeps its weight.
  void SetStartPace(double new_start);

  /// Records that the endpoint has restarted: its pace is unknown again. The
  /// learned one becomes the start value.
  void RecordRestart();

  static constexpr int kMaxPaceRuns = 255;

 private:
  void UpdatePace(double ratio, double weight);

  double pace = 1;
  int pace_runs = 0;
  /// Value at which the learned pace began, and the weight that it still has in
  /// the pace.
  double start_pace = 1;
  double start_weight = 1;
  /// Exponentially weighted share of failed runs, 0 to 1.
  double failure_share = 0;
  int consecutive_failures = 0;
  /// Number of quarantines since the failure share was last low. Each one
  /// lengthens the next.
  int quarantines = 0;
  /// Set from the start of a quarantine until the next successful run.
  bool probing = false;
  /// End of the current quarantine or refusal backoff.
  base::TimePoint blocked_until;
};

}  // namespace hawthornwheel::runs
