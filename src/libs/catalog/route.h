#pragma once

#include <string>

#include "base/clock.h"

namespace hawthornwheel::catalog {

/// Maps jobs with a host and a path prefix to a service.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  /// Time limit of a job whose caller does not state how long it waits.
  base::Duration timeout{0};
  /// Constant part of the latency objective, added to `objective_stretch` run
  /// times of the longest task.
  base::Duration objective_slack{0};
  /// Variable part of the latency objective, in run times of the longest task.
  double objective_stretch = 1;
  /// 0 is the most urgent.
  int priority = 0;
  /// Number of failed runs of a task after which its job fails.
  int max_attempts = 1;
  /// Whether only endpoints named by the advice service may run its tasks. Such
  /// routes are not supported yet; their jobs are rejected.
  bool requires_placement_hint = false;
};

}  // namespace hawthornwheel::catalog
