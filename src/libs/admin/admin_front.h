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

/// Settings of the operators' side.
struct AdminSettings {
  /// Reads and checks the group `[admin]`, and the token's file.
  static AdminSettings Read(base::SettingsReader& reader);

  /// `IP:port` to listen on.
  std::string address;
  /// Token that calls must carry; empty lets everyone in.
  std::string token;
};

/// HTTP front for operators, on an address of its own:
///
///     GET  /dump      state of the process as JSON
///     GET  /metrics   counters and distributions as JSON
///     GET  /members   all processes that this one knows
///     POST /drain     planned stop
class AdminFront {
 public:
  /// All references must outlive the front. `drain` begins a planned stop.
  AdminFront(const dispatch::Dispatcher& dispatcher, base::Metrics& metrics,
             const AdminSettings& settings, std::function<void()> drain);

  /// Listens and returns the port.
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
