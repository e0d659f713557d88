#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::soak {

/// Size and duration of one soak run.
struct SoakOptions {
  /// Path of the dispatcher program.
  std::string program;
  /// Folder for settings files and logs.
  std::string folder;
  std::uint64_t seed = 1;
  int domains = 3;
  /// Number of coordinators.
  int processes = 6;
  /// Number of entries, which hand over their jobs to a coordinator.
  int entries = 3;
  int endpoints = 12;
  double jobs_per_second = 7;
  /// Fraction of the jobs, from 0 to 1, whose tasks may run for much longer
  /// than declared and than their callers wait.
  double long_share = 0;
  /// How long faults are injected; a fault-free phase follows.
  base::Duration fault_duration{0};
  /// Whether faults are injected.
  bool faults = true;
};

}  // namespace hawthornwheel::soak
