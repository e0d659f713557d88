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
  /// Time since the placement.
  base::Duration age{0};
  /// Projected total run time.
  base::Duration expected{0};
  /// Pace of the task at the endpoint; see PaceFor().
  double pace = 1;
};

/// Holds what is to be done about an overdue run.
struct OverdueDecision {
  OverdueAction action = OverdueAction::kContinue;
  /// Run time of the task at an endpoint of pace 1 that follows from the
  /// projection; empty when the task is stuck.
  std::optional<base::Duration> nominal_run_time;
};

/// Decides about overdue runs, by the endpoints that are known at one moment.
class OverduePolicy {
 public:
  explicit OverduePolicy(std::vector<Candidate> candidates);

  /// `requirements` are those of a new run of the task, if it had no projection
  /// yet.
  OverdueDecision Decide(const OverdueRun& run, TaskRequirements requirements);

 private:
  OverdueAction ActionFor(const TaskRequirements& requirements,
                          bool may_end_here);

  std::vector<Candidate> candidates;
};

}  // namespace hawthornwheel::jobs
