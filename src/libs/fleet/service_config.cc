#include "fleet/service_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "base/address.h"
#include "base/settings_reader.h"

namespace hawthornwheel::fleet {
namespace {

using base::Duration;
using base::Presence;
using base::SettingsReader;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Maximum length of the name of a service, organisation or failure domain, in
// characters.
constexpr std::size_t kMaxNameLength = 64;
// Upper limits per endpoint.
constexpr std::int64_t kMaxSlots = 1024;
constexpr std::int64_t kMaxConnections = 4096;
constexpr std::int64_t kMaxQueuedTasks = 1'000'000;
constexpr std::int64_t kMaxPayloadBytes = 16 << 20;
constexpr std::int64_t kDefaultPayloadBytes = 64 << 10;
constexpr std::int64_t kDefaultQueuedTasks = 20'000;
constexpr std::int64_t kMaxPort = 65535;
// Relative weights, without a unit.
constexpr double kMinWeight = 0.01;
constexpr double kMaxWeight = 100;

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

std::string ReadName(SettingsReader& reader, const std::string& key) {
  std::string name = reader.Text("service", key, Presence::kRequired);
  if (!name.empty() && !IsName(name)) {
    reader.AddFault("service", key,
                    "must be 1 to 64 letters, digits, '-', '_' or '.'");
  }
  return name;
}

void ReadEndpointList(SettingsReader& reader, ServiceConfig& config) {
  std::set<std::string> seen;
  for (const std::string& text :
       reader.List("endpoints", "addresses", Presence::kOptional)) {
    const std::size_t at = text.find('@');
    const std::string address = text.substr(0, at);
    const auto parsed = base::ParseAddress(address);
    if (at == std::string::npos || !parsed || parsed->port == 0 ||
        !IsName(text.substr(at + 1))) {
      reader.AddFault("endpoints", "addresses",
                      fmt::format("'{}' is not IP:port@domain", text));
      continue;
    }
    if (!seen.insert(address).second) {
      reader.AddFault("endpoints", "addresses",
                      fmt::format("'{}' is listed twice", address));
      continue;
    }
    config.endpoints.push_back({address, text.substr(at + 1)});
  }
}

void ReadEndpoints(SettingsReader& reader, ServiceConfig& config) {
  ReadEndpointList(reader, config);
  config.selector_group =
      reader.Text("endpoints", "selector", Presence::kOptional);
  config.selector_port = static_cast<std::uint16_t>(
      reader.Integer("endpoints", "selector_port", 0, 1, kMaxPort));
  if (!config.selector_group.empty() && config.selector_port == 0) {
    reader.AddFault("endpoints", "selector_port",
                    "is required when endpoints.selector is set");
  }
  if (config.selector_group.empty() && config.endpoints.empty()) {
    reader.AddFault("endpoints", "addresses",
                    "names no endpoint, and there is no selector");
  }
  config.slots = static_cast<std::uint32_t>(
      reader.Integer("endpoints", "slots", 8, 1, kMaxSlots));
  config.connections = static_cast<std::uint32_t>(
      reader.Integer("endpoints", "connections", 64, 1, kMaxConnections));
  if (config.connections <= config.slots) {
    reader.AddFault("endpoints", "connections",
                    "must be greater than slots, because one connection is "
                    "reserved for control messages");
  }
}

void ReadUrgencies(SettingsReader& reader, ServiceConfig& config) {
  for (const std::string& name :
       reader.List("urgency", "classes", Presence::kOptional)) {
    const auto urgency = FindUrgency(name);
    if (!urgency) {
      reader.AddFault("urgency", "classes",
                      fmt::format("'{}' is not urgent, normal or bulk", name));
      continue;
    }
    config.urgencies.insert(*urgency);
  }
  if (config.urgencies.empty()) {
    config.urgencies = {Urgency::kUrgent, Urgency::kNormal, Urgency::kBulk};
  }
}

void ReadLimits(SettingsReader& reader, ServiceConfig& config) {
  config.weight = reader.Number("limits", "weight", 1, kMinWeight, kMaxWeight);
  // Service files call an organisation "team".
  config.organisation_weight =
      reader.Number("limits", "team_weight", 1, kMinWeight, kMaxWeight);
  config.max_queued_tasks = static_cast<std::uint32_t>(reader.Integer(
      "limits", "max_queued_tasks", kDefaultQueuedTasks, 1, kMaxQueuedTasks));
  config.max_running_tasks = static_cast<std::uint32_t>(
      reader.Integer("limits", "max_running_tasks", 0, 0, kMaxQueuedTasks));
  config.max_payload_bytes = static_cast<std::uint64_t>(
      reader.Integer("limits", "max_payload_bytes", kDefaultPayloadBytes, 1,
                     kMaxPayloadBytes));
}

void ReadTimeouts(SettingsReader& reader, ServiceConfig& config) {
  config.task_timeout = reader.Time("timeouts", "task", seconds(30),
                                    milliseconds(10), minutes(10));
  config.lease = reader.Time("timeouts", "lease", seconds(5), milliseconds(500),
                             minutes(1));
}

void ReadRetries(SettingsReader& reader, ServiceConfig& config) {
  config.max_refusals = static_cast<std::uint32_t>(
      reader.Integer("retry", "max_refusals", 3, 0, 100));
  config.retry_budget = reader.Number("retry", "budget", 0.1, 0, 1);
}

}  // namespace

ServiceConfigResult ReadServiceConfig(const std::string& file_name,
                                      std::string_view text) {
  const base::IniFile file = base::IniFile::Parse(file_name, text);
  SettingsReader reader(file);
  ServiceConfig config;
  config.name = ReadName(reader, "name");
  // Service files call an organisation "team".
  config.organisation = ReadName(reader, "team");
  config.idempotent = reader.Flag("service", "idempotent", false);
  ReadEndpoints(reader, config);
  ReadUrgencies(reader, config);
  ReadLimits(reader, config);
  ReadTimeouts(reader, config);
  ReadRetries(reader, config);
  ServiceConfigResult result;
  result.faults = reader.Finish();
  if (result.faults.empty()) {
    result.config = std::make_shared<const ServiceConfig>(std::move(config));
  }
  return result;
}

}  // namespace hawthornwheel::fleet
