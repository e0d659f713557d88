#pragma once

#include <functional>
#include <string>

#include "http/http_server.h"

namespace hawthornwheel::base {
class Metrics;
class SettingsReader;
}  // namespace hawthornwheel::base
namespace hawthornwheel::dispatch {
class Dispatcher;
}

namespace hawthornwheel::admin {

/// Holds the settings of the operators' interface.
struct AdminSettings {
  /// Reads and checks the group `[admin]` and the token file. Adds any faults
  /// to `reader`.
  static AdminSettings Read(base::SettingsReader& reader);

  /// `IP:port` to listen on.
  std::string address;
  /// Bearer token that each request must carry. When empty, requests need no
  /// token.
  std::string token;
};

/// Serves the HTTP interface for operators on a separate address:
///
///     GET  /dump      returns the state of the process as JSON
///     GET  /metrics   returns counters and distributions as JSON
///     GET  /members   returns all processes known to this one as JSON
///     POST /drain     starts the drain of the process
class AdminFront {
 public:
  /// All references must outlive the front. `drain` starts the drain; it is
  /// called on each `POST /drain`, also when the process is already draining.
  AdminFront(const dispatch::Dispatcher& dispatcher, base::Metrics& metrics,
             const AdminSettings& settings, std::function<void()> drain);

  /// Listens on the address of the settings and returns the port.
  base::Result<std::uint16_t> Listen();

 private:
  void Handle(const http::HttpRequest& request,
              const http::HttpServer::Responder& respond);
  bool IsAuthorized(const http::HttpRequest& request) const;

  const dispatch::Dispatcher& dispatcher;
  base::Metrics& metrics;
  const AdminSettings& settings;
  std::function<void()> drain;
  http::HttpServer server;
};

}  // namespace hawthornwheel::admin
