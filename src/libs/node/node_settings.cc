#include "node/node_settings.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <map>

#include "base/settings_reader.h"

namespace hawthornwheel::node {
namespace {

using base::Presence;
using base::SettingsReader;

constexpr std::int64_t kMaxWeight = 1000;
// Maximum length of the process name, in characters.
constexpr std::size_t kMaxNameLength = 40;

void CheckName(SettingsReader& reader, const std::string& name) {
  const bool valid = name.size() <= kMaxNameLength &&
                     std::all_of(name.begin(), name.end(), [](unsigned char c) {
                       return std::isalnum(c) != 0 || c == '-';
                     });
  if (!valid) {
    reader.AddFault("process", "name",
                    "must be at most 40 letters, digits and dashes");
  }
}

// Adds a fault for each address that is the same as an earlier one. Addresses
// with port 0 cannot conflict, because the kernel chooses their port.
void CheckAddressConflicts(SettingsReader& reader,
                           const NodeSettings& settings) {
  struct AddressUse {
    std::string group;
    std::string address;
  };
  const std::vector<AddressUse> uses = {{"peers", settings.peer_address},
                                        {"callers", settings.callers.address},
                                        {"admin", settings.admin.address}};
  std::map<std::string, std::string> used_addresses;
  for (const AddressUse& use : uses) {
    if (use.address.empty() || use.address.ends_with(":0")) continue;
    const auto [position, inserted] =
        used_addresses.emplace(use.address, use.group);
    if (inserted) continue;
    reader.AddFault(use.group, "address",
                    "is the same as " + position->second + ".address");
  }
}

}  // namespace

NodeSettingsReading ReadNodeSettings(const std::string& file_name,
                                     std::string_view text) {
  const base::IniFile file = base::IniFile::Parse(file_name, text);
  SettingsReader reader(file);
  NodeSettingsReading reading;
  NodeSettings& settings = reading.settings;
  settings.name = reader.Text("process", "name", Presence::kRequired);
  CheckName(reader, settings.name);
  settings.domain = reader.Text("process", "domain", Presence::kRequired);
  settings.weight = static_cast<std::uint32_t>(
      reader.Integer("process", "weight", 1, 1, kMaxWeight));
  settings.log_level =
      reader.Text("process", "log_level", Presence::kOptional, "info");
  settings.peer_address =
      reader.Address("peers", "address", Presence::kRequired, true);
  settings.platform_address =
      reader.Address("platform", "address", Presence::kRequired);
  settings.platform_timeout =
      reader.Time("platform", "timeout", settings.platform_timeout,
                  std::chrono::seconds(1), std::chrono::minutes(1));
  settings.fleet = fleet::FleetSettings::Read(reader);
  settings.dispatch = dispatch::DispatchSettings::Read(reader);
  settings.callers = callers::CallerSettings::Read(reader);
  settings.admin = admin::AdminSettings::Read(reader);
  CheckAddressConflicts(reader, settings);
  reading.faults = reader.Finish();
  return reading;
}

}  // namespace hawthornwheel::node
