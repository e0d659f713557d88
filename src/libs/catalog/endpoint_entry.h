#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catalog/resources.h"

namespace hawthornwheel::catalog {

/// What an endpoint says of itself.
struct EndpointEntry {
  std::string id;
  std::string service;
  /// `IP:port`.
  std::string address;
  /// Failure domain.
  std::string domain;
  Resources capacity;
  std::vector<std::string> labels;
  /// Leaving: it takes no new task.
  bool draining = false;
  /// Start of this incarnation in Unix milliseconds; 0 when it is not told.
  std::int64_t incarnation_start_ms = 0;
};

}  // namespace hawthornwheel::catalog
