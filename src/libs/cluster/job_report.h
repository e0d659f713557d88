#pragma once

#include "base/clock.h"
#include "cluster/job_runs.h"

namespace hawthornwheel::cluster {

/// Holds the jobs with runs in progress that a process has reported.
struct JobReport {
  JobRuns jobs;
  /// Time at which the report arrived.
  base::TimePoint received;
};

}  // namespace hawthornwheel::cluster
