#pragma once

#include <cstddef>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::base {
class SettingsReader;
}

namespace hawthornwheel::http {

/// Holds the limits on the connections of a server.
struct ConnectionLimits {
  /// Reads the keys `max_connections`, `header_timeout`, `body_timeout` and
  /// `idle_timeout` of `group`. Adds any faults to `reader`.
  static ConnectionLimits Read(base::SettingsReader& reader,
                               const std::string& group);

  /// Maximum number of open connections. Further ones are closed at once.
  std::size_t max_connections = 2'000;
  /// Maximum time from the first byte of a request to the end of its headers.
  base::Duration header_timeout{10'000'000};
  /// Maximum time from the end of the headers to the end of the body.
  base::Duration body_timeout{30'000'000};
  /// Maximum time without a byte between two requests.
  base::Duration idle_timeout{300'000'000};
};

}  // namespace hawthornwheel::http
