#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "catalog/route.h"

namespace hawthornwheel::catalog {

/// Holds the limits on callers' connections. Durations are in microseconds.
struct CallerLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 262'144;
  base::Duration header_timeout{3'000'000};
  base::Duration idle_timeout{15'000'000};
};

/// Holds one version of the configuration that the platform publishes.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  CallerLimits limits;

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
};

}  // namespace hawthornwheel::catalog
