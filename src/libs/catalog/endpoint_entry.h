#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catalog/resources.h"

namespace hawthornwheel::catalog {

/// Holds what an endpoint publishes about itself.
struct EndpointEntry {
  std::string id;
  std::string service;
  /// `IP:port`.
  std::string address;
  /// Failure domain.
  std::string domain;
  Resources capacity;
  std::vector<std::string> labels;
  /// Set when the endpoint is leaving and takes no new tasks.
  bool draining = false;
  /// Start of this incarnation in Unix milliseconds; 0 when unknown.
  std::int64_t incarnation_start_ms = 0;
};

}  // namespace hawthornwheel::catalog
