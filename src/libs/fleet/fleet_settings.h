#pragma once

#include <string>
#include <vector>

#include "base/clock.h"

namespace hawthornwheel::base {
class SettingsReader;
}

namespace hawthornwheel::fleet {

/// Settings of membership and configuration.
struct FleetSettings {
  /// Reads and checks the group `[fleet]`.
  static FleetSettings Read(base::SettingsReader& reader);

  std::string cluster;
  /// Peer addresses to ask when the log is down at the start.
  std::vector<std::string> seeds;
  base::Duration heartbeat_interval{2'000'000};
  /// Silence after which a member is taken for dead.
  base::Duration heartbeat_timeout{6'000'000};
  /// Time between reads of the log, and of the list of VMs.
  base::Duration poll_interval{1'000'000};
  /// How long a process waits for the log at its start before a peer's
  /// configuration will do.
  base::Duration log_startup_timeout{3'000'000};
};

}  // namespace hawthornwheel::fleet
