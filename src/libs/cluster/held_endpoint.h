#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "catalog/resources.h"

namespace hawthornwheel::cluster {

/// Describes an endpoint that another process holds, as reported by its holder.
struct HeldEndpoint {
  std::string service;
  /// Whether it accepts tasks at present. The other fields are valid only then.
  bool open = false;
  catalog::Resources free;
  /// Learned ratio of the actual to the declared run time.
  double pace = 1;
  /// Number of runs that `pace` was learned from; 0 if none or unknown.
  int pace_runs = 0;
  /// Time at which its next run is expected to end, by the clock of this
  /// process; empty if unknown or when nothing runs there.
  std::optional<base::TimePoint> next_free;
  std::vector<std::string> labels;
  /// Start of the incarnation that the fields describe, in Unix milliseconds; 0
  /// if unknown.
  std::int64_t incarnation_start_ms = 0;
};

}  // namespace hawthornwheel::cluster
