#pragma once

#include <cstdint>
#include <string>
#include <vector>

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
  std::vector<std::string> labels;
  /// Start of the incarnation that the fields describe, in Unix milliseconds; 0
  /// if unknown.
  std::int64_t incarnation_start_ms = 0;
};

}  // namespace hawthornwheel::cluster
