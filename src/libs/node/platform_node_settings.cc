#include "node/platform_node_settings.h"

#include <chrono>

#include "base/address.h"
#include "base/settings_reader.h"

namespace hawthornwheel::node {
namespace {

// Weight at the maximum `cpu_share`, 1000 cores.
constexpr std::int64_t kMaxWeight = 100'000;
constexpr std::int64_t kMaxWallClockOffsetMs = 60'000;

}  // namespace

bool PlatformNodeSettings::AddressesDifferFrom(
    const PlatformNodeSettings& other) const {
  return this->peer_address != other.peer_address ||
         this->advertised_address != other.advertised_address ||
         this->caller_address != other.caller_address ||
         this->ready_address != other.ready_address ||
         this->metrics_address != other.metrics_address;
}

PlatformNodeSettings::Reading PlatformNodeSettings::Read(
    const std::string& file_name, std::string_view text) {
  using base::Presence;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  const base::IniFile file = base::IniFile::Parse(file_name, text);
  base::SettingsReader reader(file);
  Reading reading;
  PlatformNodeSettings& settings = reading.settings;
  // Marks the key as known. The program reads its value to choose between Node
  // and PlatformNode.
  reader.Text("process", "platform", Presence::kOptional);
  settings.name = reader.Text("process", "name", Presence::kRequired);
  settings.domain = reader.Text("process", "domain", Presence::kRequired);
  // `cpu_share` is in cores and may be fractional. The weight is in hundredths
  // of a core.
  const double share = reader.Number("process", "cpu_share", 1, 0.001, 1000);
  settings.weight = static_cast<std::uint32_t>(share * kMaxWeight / 1000);
  settings.log_level =
      reader.Text("process", "log_level", Presence::kOptional, "info");
  settings.drain_time = reader.Time(
      "process", "drain_time", settings.drain_time, seconds(0), seconds(3600));
  settings.wall_clock_offset = milliseconds(
      reader.Integer("process", "wall_clock_offset_ms", 0,
                     -kMaxWallClockOffsetMs, kMaxWallClockOffsetMs));
  settings.peer_address =
      reader.Address("peers", "address", Presence::kRequired, true);
  settings.advertised_address =
      reader.Address("peers", "advertise", Presence::kOptional);
  if (settings.advertised_address.empty()) {
    settings.advertised_address = settings.peer_address;
  }
  settings.caller_address =
      reader.Address("callers", "address", Presence::kRequired, true);
  settings.caller_connections = http::ConnectionLimits::Read(reader, "callers");
  settings.ready_address =
      reader.Address("ready", "address", Presence::kRequired, true);
  settings.metrics_address =
      reader.Address("metrics", "address", Presence::kOptional, true);
  settings.store_address =
      reader.Address("platform", "address", Presence::kRequired);
  // The platform lists the seeds with another port. The port of this process's
  // peer address replaces it, because all processes use the same port for
  // peers.
  for (const std::string& seed :
       reader.List("peers", "seeds", Presence::kOptional)) {
    const auto address = base::ParseAddress(seed);
    const auto own = base::ParseAddress(settings.peer_address);
    if (!address || !own) {
      reader.AddFault("peers", "seeds", "'" + seed + "' is not IP:port");
      continue;
    }
    settings.seeds.push_back(address->ip + ":" + std::to_string(own->port));
  }
  settings.runs = runs::RunSettings::Read(reader);
  settings.jobs = jobs::JobSettings::Read(reader);
  reading.faults = reader.Finish();
  return reading;
}

}  // namespace hawthornwheel::node
