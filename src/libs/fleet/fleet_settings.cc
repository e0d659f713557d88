#include "fleet/fleet_settings.h"

#include <chrono>

#include "base/address.h"
#include "base/settings_reader.h"

namespace hawthornwheel::fleet {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

FleetSettings FleetSettings::Read(base::SettingsReader& reader) {
  FleetSettings settings;
  settings.cluster = reader.Text("fleet", "cluster", base::Presence::kRequired);
  settings.seeds = reader.List("fleet", "seeds", base::Presence::kOptional);
  for (const std::string& seed : settings.seeds) {
    if (!base::ParseAddress(seed)) {
      reader.AddFault("fleet", "seeds", "'" + seed + "' is not IP:port");
    }
  }
  settings.heartbeat_interval =
      reader.Time("fleet", "heartbeat_interval", settings.heartbeat_interval,
                  milliseconds(50), seconds(10));
  settings.heartbeat_timeout =
      reader.Time("fleet", "heartbeat_timeout", settings.heartbeat_timeout,
                  milliseconds(150), minutes(1));
  if (settings.heartbeat_timeout < 3 * settings.heartbeat_interval) {
    reader.AddFault("fleet", "heartbeat_timeout",
                    "must be at least three heartbeat intervals");
  }
  settings.poll_interval =
      reader.Time("fleet", "poll_interval", settings.poll_interval,
                  milliseconds(50), seconds(10));
  settings.log_startup_timeout =
      reader.Time("fleet", "log_patience", settings.log_startup_timeout,
                  milliseconds(100), minutes(1));
  return settings;
}

}  // namespace hawthornwheel::fleet
