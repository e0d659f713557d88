#pragma once

#include <string>

#include "base/clock.h"

namespace hawthornwheel::catalog {

/// Rule that sends jobs with a host and a path prefix to a service.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  /// Longest time that a job may take.
  base::Duration timeout{0};
  /// Part of the latency objective beside the run time of the longest task.
  base::Duration objective_slack{0};
  /// Latency objective in run times of the longest task.
  double objective_stretch = 1;
  /// 0 is the most urgent.
  int priority = 0;
  /// Failed runs of a task after which its job has failed.
  int max_attempts = 1;
  /// Whether only endpoints named by the advice service may run its tasks.
  bool needs_advice = false;
};

}  // namespace hawthornwheel::catalog
