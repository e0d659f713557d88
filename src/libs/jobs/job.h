#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/timer.h"
#include "catalog/route.h"
#include "jobs/job_answer.h"
#include "jobs/job_request.h"
#include "jobs/placer.h"

namespace hawthornwheel::jobs {

/// A job in the works at this process.
struct Job {
  enum class TaskState { kWaiting, kPlaced, kDone };

  struct Task {
    TaskState state = TaskState::kWaiting;
    /// Number of its latest run.
    std::uint64_t run = 0;
    int failed_runs = 0;
    PlacedRun placed_run;
    /// Learned pace of the endpoint that it was placed at.
    double pace = 1;
    /// Being stopped, to run at a faster endpoint.
    bool moving = false;
    std::set<std::string> avoid;
  };

  JobRequest request;
  /// As it was in force when the job came.
  catalog::Route route;
  std::uint64_t config_version = 0;
  base::TimePoint arrival;
  /// Until when it meets the latency objective.
  base::TimePoint objective_end;
  /// When the caller or the route gives it up.
  base::TimePoint deadline;
  /// Until when its first task must have been placed.
  base::TimePoint latest_start;
  std::vector<Task> tasks;
  /// Run time of its tasks at an endpoint of pace 1: as declared, or as the
  /// progress of one of them has shown.
  base::Duration nominal_run_time{0};
  bool nominal_run_time_measured = false;
  int waiting_tasks = 0;
  int done_tasks = 0;
  /// Tasks that are placed at present.
  int placed_tasks = 0;
  /// Whether it was answered; news of its runs are of no concern then.
  bool ended = false;
  /// Whether a run is known to have started.
  bool has_run = false;
  std::vector<std::pair<std::uint64_t, JobResponder>> responders;
  std::unique_ptr<base::Timer> timer;

  /// Whether an order may have been carried out, or still may be.
  bool MayHaveRun() const { return this->has_run || this->placed_tasks > 0; }
};

}  // namespace hawthornwheel::jobs
