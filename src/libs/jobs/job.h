#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/timer.h"
#include "catalog/route.h"
#include "jobs/job_answer.h"
#include "jobs/job_request.h"
#include "jobs/placer.h"
#include "jobs/run_projection.h"
#include "jobs/task_wait.h"

namespace hawthornwheel::jobs {

/// Holds the state of a job in flight in this process.
struct Job {
  enum class TaskState { kWaiting, kPlaced, kDone };

  /// Waits for the answer.
  struct Caller {
    std::uint64_t number = 0;
    JobResponder respond;
    /// Returns whether the caller is known to wait still; null for a caller
    /// whose connection ends at this process.
    std::function<bool()> is_waiting;
    /// Returns the earliest time at which the process that waits may have
    /// answered the caller, as far as it was heard; null if `is_waiting` is.
    std::function<base::TimePoint()> earliest_answer;
  };

  struct Task {
    TaskState state = TaskState::kWaiting;
    /// Number of the latest run.
    std::uint64_t run = 0;
    int failed_runs = 0;
    PlacedRun placed_run;
    /// Time of the latest placement.
    base::TimePoint placed_at;
    /// Pace of the task at the endpoint where it was placed; see PaceFor().
    double pace = 1;
    /// Projections of the latest run that showed it to be overdue.
    RunProjection projection;
    /// Set while the run is being stopped to restart the task at another
    /// endpoint.
    bool moving = false;
    /// Run time at an endpoint of pace 1: that of its completed run, or the
    /// latest projection; 0 before.
    base::Duration seen_run_time{0};
    /// Whether the run time of the task counts for its route already.
    bool run_time_recorded = false;
    TaskWait wait;
    /// Endpoints where a run of the task failed, was lost or was overdue.
    std::set<std::string> avoid;
  };

  JobRequest request;
  /// Route that was in force when the job arrived.
  catalog::Route route;
  std::uint64_t config_version = 0;
  base::TimePoint arrival;
  /// Time by which the job must end to meet its latency objective.
  base::TimePoint objective_end;
  /// Time at which the job is ended.
  base::TimePoint deadline;
  /// Time by which the first task must have been placed.
  base::TimePoint latest_start;
  /// Times at which the first and the latest task was placed; empty before.
  std::optional<base::TimePoint> first_placed;
  std::optional<base::TimePoint> last_placed;
  std::vector<Task> tasks;
  /// Run time of a task at an endpoint of pace 1: the declared one, or the one
  /// that follows from the progress of a task.
  base::Duration nominal_run_time{0};
  /// Whether `nominal_run_time` follows from the progress of a task.
  bool nominal_run_time_measured = false;
  /// Placements that ended without a run, for example because the endpoint was
  /// full by then.
  int refused_placements = 0;
  /// Tasks that wait for an endpoint.
  int waiting_tasks = 0;
  /// Tasks that found no endpoint in the latest pass; those that wait for a
  /// better one are not among them.
  int tasks_without_endpoint = 0;
  int done_tasks = 0;
  /// Tasks that are placed at present.
  int placed_tasks = 0;
  /// Whether the job was answered; later reports about its runs are ignored.
  bool ended = false;
  /// Whether a run is known to have started.
  bool has_run = false;
  /// Whether a run may exist that no endpoint shows: a start order without an
  /// answer, or a run of an earlier submission of the job.
  bool has_unconfirmed_run = false;
  /// Whether the job has waited for runs that another process placed.
  bool awaits_other_runs = false;
  std::vector<Caller> callers;
  std::unique_ptr<base::Timer> timer;

  /// Returns whether a run may have started or may still start.
  bool MayHaveRun() const { return this->has_run || this->placed_tasks > 0; }

  /// Returns how a job that cannot be served ends. It is rejected only if none
  /// of its tasks has run or can start any more.
  JobEnd UnservedEnd() const {
    return this->MayHaveRun() || this->has_unconfirmed_run
               ? JobEnd::kInterrupted
               : JobEnd::kRejected;
  }

  /// Sets the times of a job that arrives at `now` and may take `time_limit`.
  void SetTimes(base::TimePoint now, base::Duration time_limit);

  /// Returns whether its waiting tasks are placed before those of `other`. Jobs
  /// that have started come first, since a job is answered only after its last
  /// task; then jobs of more urgent routes, then those that must start soonest.
  bool IsPlacedBefore(const Job& other) const;

  /// Returns the time by which a task that waits for a better endpoint takes
  /// another one, so that the job is not given up while endpoints are free.
  base::TimePoint LatestPlacement() const;

  /// Returns whether a caller is known to wait still.
  bool IsAwaited() const;

  /// Returns the highest run number of its tasks.
  std::uint64_t LastRun() const;

  /// Returns the highest pace at which a placed task runs, or 0 if none is
  /// placed.
  double SlowestPace() const;

  /// Returns the longest run time of its tasks at an endpoint of pace 1, as far
  /// as it was seen or projected; 0 before.
  base::Duration LongestSeenRunTime() const;
};

}  // namespace hawthornwheel::jobs
