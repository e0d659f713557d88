#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "catalog/resources.h"

namespace hawthornwheel::jobs {

/// Holds one step of parallel tasks, as a caller submits it.
struct JobRequest {
  /// Id that the caller assigns; the same id names the same job.
  std::string id;
  std::string host;
  std::string path;
  /// Passed to each task.
  std::string payload;
  int task_count = 0;
  /// Resources that each task needs.
  catalog::Resources resources;
  /// Declared run time of a task; a rough estimate.
  base::Duration estimate{0};
  /// Label that endpoints must have; empty for any.
  std::string required_label;
  /// Label of the endpoints near the task's data; empty when the location does
  /// not matter.
  std::string near_label;
  /// Time that the caller waits; 0 applies the timeout of the route.
  base::Duration caller_timeout{0};
};

}  // namespace hawthornwheel::jobs
