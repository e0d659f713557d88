#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/candidate.h"

namespace hawthornwheel::jobs {

/// What a task asks of an endpoint.
struct TaskNeed {
  std::string service;
  std::string label;
  catalog::Resources resources;
  base::Duration estimate{0};
  /// Run time within which its job meets the latency objective.
  base::Duration objective{0};
  /// Run time after which its job misses the caller's deadline.
  base::Duration deadline{0};
  /// Endpoints where it failed or that have enough of its job.
  const std::set<std::string>* avoid = nullptr;
};

/// Best endpoint for a task: the slowest that meets the objective, so that the
/// fast ones are left to long tasks; else the fastest that meets the deadline.
/// Near holders come first among equals. Null when none can run it in time.
Candidate* ChooseEndpoint(std::vector<Candidate>& candidates,
                          const TaskNeed& need);

}  // namespace hawthornwheel::jobs
