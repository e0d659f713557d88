#pragma once

#include <functional>
#include <string>

#include "http/http_server.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::admin {

/// HTTP front with `GET /metrics` (one `name value` a line) and `GET /state`
/// (dump as JSON).
class MetricsFront {
 public:
  /// References must outlive the front.
  MetricsFront(base::Metrics& metrics, std::function<std::string()> dump);

  /// Listens on `address` and returns the port.
  base::Result<std::uint16_t> Listen(const std::string& address);

 private:
  base::Metrics& metrics;
  std::function<std::string()> dump;
  http::HttpServer server;
};

}  // namespace hawthornwheel::admin
