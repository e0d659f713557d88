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

/// All settings of one process.
struct NodeSettings {
  /// Name in the incarnation; letters, digits and dashes.
  std::string name;
  std::string domain;
  /// Share of the domain's endpoints that this process takes.
  std::uint32_t weight = 1;
  std::string log_level;
  /// `IP:port` for peers.
  std::string peer_address;
  /// `IP:port` of the platform.
  std::string platform_address;
  base::Duration platform_timeout{2'000'000};
  fleet::FleetSettings fleet;
  dispatch::DispatchSettings dispatch;
  callers::CallerSettings callers;
  admin::AdminSettings admin;
};

/// Outcome of reading a settings file.
struct NodeSettingsReading {
  NodeSettings settings;
  /// Every fault; the settings hold only when there is none.
  std::vector<base::IniFault> faults;
};

/// Reads and checks a settings file.
NodeSettingsReading ReadNodeSettings(const std::string& file_name,
                                     std::string_view text);

}  // namespace hawthornwheel::node
