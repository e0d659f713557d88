#pragma once

#include <chrono>

#include "base/clock.h"
#include "cluster/job_runs.h"

namespace hawthornwheel::cluster {

/// Time for which the last report of a lost process counts. The holder of its
/// runs stops them within 1.1 s of the loss, and reports them until they have
/// ended. If the holder is lost before, their leases end 1.05 s after its last
/// order.
constexpr base::Duration kJobReportValidity = std::chrono::milliseconds(2'100);

/// Holds the jobs with runs in progress that a process has reported.
struct JobReport {
  JobRuns jobs;
  /// Time at which the report arrived.
  base::TimePoint received;
};

}  // namespace hawthornwheel::cluster
