#include "http/connection_limits.h"

#include <chrono>

#include "base/settings_reader.h"

namespace hawthornwheel::http {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

// Ranges of the settings.
constexpr std::int64_t kMinConnections = 1;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr base::Duration kMinTimeout = milliseconds(100);
constexpr base::Duration kMaxTimeout = hours(1);

}  // namespace

ConnectionLimits ConnectionLimits::Read(base::SettingsReader& reader,
                                        const std::string& group) {
  ConnectionLimits limits;
  limits.max_connections = static_cast<std::size_t>(
      reader.Integer(group, "max_connections",
                     static_cast<std::int64_t>(limits.max_connections),
                     kMinConnections, kMaxConnections));
  limits.header_timeout = reader.Time(
      group, "header_timeout", limits.header_timeout, kMinTimeout, kMaxTimeout);
  limits.body_timeout = reader.Time(group, "body_timeout", limits.body_timeout,
                                    kMinTimeout, kMaxTimeout);
  limits.idle_timeout = reader.Time(group, "idle_timeout", limits.idle_timeout,
                                    kMinTimeout, kMaxTimeout);
  return limits;
}

}  // namespace hawthornwheel::http
