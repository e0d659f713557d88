#pragma once

#include <map>
#include <string>

#include "cluster/job_runs.h"

namespace hawthornwheel::cluster {

/// Holds the jobs that a process reports in its heartbeats, so that copies of
/// them at other processes wait for their runs.
struct ReportedJobs {
  /// Jobs that are reported to all processes.
  JobRuns to_all;
  /// Jobs with runs of other processes at endpoints of this process, by the
  /// incarnation of the process that placed them. They are not reported to that
  /// process: it knows its runs, and its other tasks of the job must not wait
  /// for them.
  std::map<std::string, JobRuns> hosted;

  bool IsEmpty() const { return this->to_all.empty() && this->hosted.empty(); }
};

}  // namespace hawthornwheel::cluster
