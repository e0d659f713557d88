#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/candidate.h"

namespace hawthornwheel::jobs {

/// Spread of declared run times, and of those that progress has shown.
inline constexpr double kDeclaredLogStdDev = 0.45;
inline constexpr double kMeasuredLogStdDev = 0.12;

/// What a task asks of an endpoint.
struct TaskRequirements {
  std::string service;
  std::string label;
  /// Endpoints without this label take `far_factor` times as long; empty for
  /// none.
  std::string near_label;
  double far_factor = 1;
  catalog::Resources resources;
  /// Tasks of its job.
  int job_task_count = 1;
  base::Duration estimate{0};
  /// Spread of the logarithm of the real run time around the estimate.
  double estimate_log_std_dev = kDeclaredLogStdDev;
  /// Longest pace at which its job meets the latency objective: run times of
  /// the longest task that the objective allows.
  double objective_pace = 1;
  /// Run time after which its job misses the caller's deadline.
  base::Duration deadline{0};
  /// Endpoints where it failed or that have enough of its job.
  const std::set<std::string>* avoid = nullptr;
};

/// Pace of `candidate` for the task, its distance to the task's data included.
double PaceFor(const Candidate& candidate,
               const TaskRequirements& requirements);

/// Best endpoint for a task, by the chance that the task meets the objective
/// and the deadline there, less what the use of a fast endpoint and of a far
/// holder costs others. Long tasks so go to fast endpoints, and short ones
/// leave them free. Null when no endpoint is likely to run it in time.
Candidate* ChooseEndpoint(std::vector<Candidate>& candidates,
                          const TaskRequirements& requirements);

/// Whether a fast endpoint with room would be likely to run it in time.
bool CanMeetDeadline(const TaskRequirements& requirements);

}  // namespace hawthornwheel::jobs
