#pragma once

#include <string>

#include "http/http_server.h"
#include "support/leased_endpoints.h"

namespace hawthornwheel::testing {

/// Serves one endpoint of LeasedEndpoints over HTTP with the interface of the
/// users' platform.
class HostedEndpointServer {
 public:
  /// References must outlive the server.
  HostedEndpointServer(LeasedEndpoints& endpoints, base::Clock& clock,
                       std::string id);

  /// Listens on a free port of the loopback interface and returns `IP:port`.
  std::string Listen();

 private:
  void Handle(const http::HttpRequest& request,
              const http::HttpServer::Responder& respond);

  LeasedEndpoints& endpoints;
  ProcessClock clock;
  std::string id;
  http::HttpServer server;
};

}  // namespace hawthornwheel::testing
