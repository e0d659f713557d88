#pragma once

#include "base/clock.h"
#include "jobs/endpoint_choice.h"
#include "jobs/job.h"
#include "jobs/job_answer.h"

namespace hawthornwheel::jobs {

/// Holds the state in which a job ends early.
struct EarlyEnd {
  const char* cause = "";
  base::Duration retry_after{0};
  /// Expected run time of a task at an endpoint of pace 1.
  base::Duration expected{0};
  /// Free capacity in tasks of the job.
  FreeRoom room;
  /// Number of tasks that wait before those of the job.
  int tasks_ahead = 0;
};

/// Logs the end of a job that was completed, with its size and the times of its
/// placements.
void LogComplete(const Job& job, base::TimePoint now);

/// Logs the end of another job, also with its state at that moment and the runs
/// in progress that are stopped.
void LogEarlyEnd(const Job& job, JobEnd end, base::TimePoint now,
                 const EarlyEnd& state);

}  // namespace hawthornwheel::jobs
