#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::soak {

/// Size and length of one soak run.
struct SoakOptions {
  /// Path of the dispatcher program.
  std::string program;
  /// Folder for settings files and logs.
  std::string folder;
  std::uint64_t seed = 1;
  int domains = 3;
  /// Processes that coordinate, and weak ones that hand their jobs over.
  int processes = 6;
  int entries = 3;
  int endpoints = 12;
  double jobs_per_second = 7;
  /// How long faults come; a calm time follows.
  base::Duration fault_duration{0};
  /// Whether faults come at all.
  bool faults = true;
};

}  // namespace hawthornwheel::soak
