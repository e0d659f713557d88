#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admin/admin_front.h"
#include "base/clock.h"
#include "base/ini_file.h"
#include "callers/caller_front.h"
#include "dispatch/dispatch_settings.h"
#include "fleet/fleet_settings.h"

namespace hawthornwheel::node {

/// Holds all settings of one process on the project's own log.
struct NodeSettings {
  /// Prefix of the incarnation id; at most 40 letters, digits and dashes.
  std::string name;
  /// Failure domain.
  std::string domain;
  /// Relative weight, 1 to 1000. Determines this process's share of the
  /// domain's endpoints.
  std::uint32_t weight = 1;
  std::string log_level;
  /// `IP:port` for peers.
  std::string peer_address;
  /// `IP:port` of the platform.
  std::string platform_address;
  /// Time limit for a call to the platform.
  base::Duration platform_timeout{2'000'000};
  fleet::FleetSettings fleet;
  dispatch::DispatchSettings dispatch;
  callers::CallerSettings callers;
  admin::AdminSettings admin;
};

/// Holds the result of reading a settings file.
struct NodeSettingsReading {
  NodeSettings settings;
  /// All faults. The settings are valid only when there are none.
  std::vector<base::IniFault> faults;
};

/// Reads and checks the text of a settings file. `file_name` is used in the
/// faults only.
NodeSettingsReading ReadNodeSettings(const std::string& file_name,
                                     std::string_view text);

}  // namespace hawthornwheel::node
