#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/candidate.h"

namespace hawthornwheel::jobs {

/// Standard deviation of the logarithm of the real run time around a declared
/// estimate, and around one that follows from the progress of a task.
inline constexpr double kDeclaredLogStdDev = 0.45;
inline constexpr double kMeasuredLogStdDev = 0.12;

/// Holds the requirements of a task on an endpoint.
struct TaskRequirements {
  std::string service;
  /// Label that the endpoint must have; empty for any.
  std::string label;
  /// The task takes `far_factor` times as long on endpoints without this label;
  /// empty when the location does not matter.
  std::string near_label;
  double far_factor = 1;
  catalog::Resources resources;
  /// Number of tasks of the job.
  int job_task_count = 1;
  /// Expected run time at an endpoint of pace 1.
  base::Duration estimate{0};
  /// Standard deviation of the logarithm of the real run time around the
  /// estimate.
  double estimate_log_std_dev = kDeclaredLogStdDev;
  /// Highest pace at which the job meets its latency objective: the time that
  /// is left to the objective, in run times of the longest task.
  double objective_pace = 1;
  /// Time left until the deadline of the job.
  base::Duration deadline{0};
  /// Endpoints to exclude, since a run of the task failed, was lost or was
  /// overdue there; null for none.
  const std::set<std::string>* avoid = nullptr;
};

/// Returns the pace of `candidate` for the task. The pace includes
/// `far_factor` when the endpoint is away from the task's data.
double PaceFor(const Candidate& candidate,
               const TaskRequirements& requirements);

/// Returns the best endpoint with free capacity for a task, or null when none
/// is likely to run it in time, or when one without free capacity is much more
/// likely to. The score is the expected value of the answer, which follows
/// from the probabilities of meeting the deadline and the objective there, less
/// the costs of a fast endpoint, a distant holder, jitter and leftover CPU. As
/// a result, long tasks go to fast endpoints, and short tasks leave those free
/// as far as they are scarce (Candidate::capacity_value).
Candidate* ChooseEndpoint(std::vector<Candidate>& candidates,
                          const TaskRequirements& requirements);

/// Returns the best endpoint as ChooseEndpoint() does, but also when one
/// without free capacity is much more likely to run the task in time.
Candidate* ChooseFreeEndpoint(std::vector<Candidate>& candidates,
                              const TaskRequirements& requirements);

/// Returns whether a task may meet its deadline at an endpoint of pace `pace`.
/// Below this chance, a placement would be only nominal.
bool MayEndInTime(double pace, const TaskRequirements& requirements);

/// Returns whether the endpoint has the label.
bool HasLabel(const Candidate& candidate, const std::string& label);

/// Returns whether the task may run at the endpoint, whatever its free
/// capacity.
bool IsAllowed(const Candidate& candidate,
               const TaskRequirements& requirements);

/// Returns whether the endpoint has enough free capacity for the task. Tasks
/// that need no resources are not started at endpoints without free CPU either:
/// their capacity may be unknown or reserved.
bool HasRoom(const Candidate& candidate, const TaskRequirements& requirements);

/// Claims the endpoint for a waiting task: withdraws its free capacity and its
/// next place from the tasks of later jobs.
void Claim(Candidate& candidate);

/// Claims one endpoint for each of `tasks` waiting tasks: among those that are
/// likely to run the task in time, the one that is expected to have enough free
/// capacity first. Otherwise a task that needs much capacity would never find
/// an endpoint that has enough.
void Reserve(std::vector<Candidate>& candidates,
             const TaskRequirements& requirements, base::TimePoint now,
             int tasks = 1);

/// Counts the tasks of one kind for which the candidates have free capacity.
struct FreeRoom {
  /// Tasks that fit.
  std::int64_t tasks = 0;
  /// Tasks that fit at endpoints that are likely to run them in time.
  std::int64_t tasks_in_time = 0;
};

/// Returns the free capacity of `candidates` in tasks with `requirements`.
FreeRoom CountFreeRoom(const std::vector<Candidate>& candidates,
                       const TaskRequirements& requirements);

/// Returns whether the fastest endpoint for the task would be likely to run it
/// in time if it had free capacity.
bool CanMeetDeadline(const std::vector<Candidate>& candidates,
                     const TaskRequirements& requirements);

}  // namespace hawthornwheel::jobs
