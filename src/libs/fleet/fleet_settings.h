#pragma once

#include <string>
#include <vector>

#include "base/clock.h"

namespace hawthornwheel::base {
class SettingsReader;
}

namespace hawthornwheel::fleet {

/// Settings for membership and configuration. Durations are in microseconds.
struct FleetSettings {
  /// Reads and validates the group `[fleet]`. Reports faults to `reader`.
  static FleetSettings Read(base::SettingsReader& reader);

  std::string cluster;
  /// Peer addresses (`IP:port`) that get heartbeats in addition to the known
  /// members, so that a process finds peers when the log is down at its start.
  std::vector<std::string> seeds;
  base::Duration heartbeat_interval{2'000'000};
  /// Time without a heartbeat after which a member of the own failure domain is
  /// no longer considered live.
  base::Duration heartbeat_timeout{6'000'000};
  /// Interval between reads of the log, and between reads of the VM list.
  base::Duration poll_interval{1'000'000};
  /// Time that a starting process waits for the log before it accepts a peer's
  /// configuration.
  base::Duration log_startup_timeout{3'000'000};
};

}  // namespace hawthornwheel::fleet
