#pragma once

#include <functional>
#include <string>

#include "http/http_server.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::admin {

/// Serves `GET /metrics` (plain text, one `name value` per line) and
/// `GET /state` (state of the process as JSON) over HTTP.
class MetricsFront {
 public:
  /// `metrics` must outlive the front. `dump` returns the state as JSON; it is
  /// called on each request for `/state`.
  MetricsFront(base::Metrics& metrics, std::function<std::string()> dump);

  /// Limits the connections with the default limits. Must be called before
  /// Listen().
  void LimitConnections(base::Clock& clock) {
    this->server.LimitConnections(clock, {});
  }

  /// Listens on `address` (`IP:port`) and returns the port.
  base::Result<std::uint16_t> Listen(const std::string& address);

 private:
  base::Metrics& metrics;
  std::function<std::string()> dump;
  http::HttpServer server;
};

}  // namespace hawthornwheel::admin
