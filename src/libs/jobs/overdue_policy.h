#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/candidate.h"
#include "jobs/endpoint_choice.h"
#include "jobs/overdue_action.h"

namespace hawthornwheel::jobs {

/// Describes a run that is projected to miss the deadline of its job.
struct OverdueRun {
  std::string endpoint;
  /// Projected total run time.
  base::Duration expected{0};
  /// Pace of the task at the endpoint; see PaceFor().
  double pace = 1;
  /// Probability that the run ends in time.
  double chance = 0;
};

/// Holds what is to be done about an overdue run.
struct OverdueDecision {
  OverdueAction action = OverdueAction::kContinue;
  /// Value of the capacity of the run's endpoint, and the chance from which a
  /// run continues at that value.
  double value = 1;
  double min_chance = 0;
  /// Run time of the task at an endpoint of pace 1 that follows from the
  /// projection; empty when the task is stuck.
  std::optional<base::Duration> nominal_run_time;
};

/// Decides about overdue runs, by the endpoints that are known at one moment. A
/// run that cannot move continues while its chance to end in time is worth more
/// than its place: down to 10% when tasks wait for places of this kind, and
/// down to 1% when plenty are free.
class OverduePolicy {
 public:
  explicit OverduePolicy(std::vector<Candidate> candidates);

  /// `requirements` are those of a new run of the task, if it had no projection
  /// yet.
  OverdueDecision Decide(const OverdueRun& run, TaskRequirements requirements);

  /// Returns whether a run that continues would be ended if no endpoint of its
  /// kind were free.
  static bool IsSpared(const OverdueRun& run, const OverdueDecision& decision);

 private:
  double ValueOf(const std::string& endpoint) const;
  OverdueAction ActionFor(const TaskRequirements& requirements,
                          bool may_end_here);

  std::vector<Candidate> candidates;
};

}  // namespace hawthornwheel::jobs
