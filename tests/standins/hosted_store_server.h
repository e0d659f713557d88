#pragma once

#include <string>

#include "http/http_server.h"
#include "support/keyed_store_client.h"

namespace hawthornwheel::testing {

/// Serves a KeyedStore over HTTP with the interface of the users' platform.
/// Only the three topics of the catalog exist.
class HostedStoreServer {
 public:
  /// References must outlive the server.
  HostedStoreServer(KeyedStore& store, base::Clock& clock);

  /// Listens on a free port of the loopback interface and returns `IP:port`.
  std::string Listen();

 private:
  void Handle(const http::HttpRequest& request,
              const http::HttpServer::Responder& respond);
  void ReadNewest(const http::HttpRequest& request, catalog::Topic topic,
                  const http::HttpServer::Responder& respond);
  void ReadFrom(const http::HttpRequest& request, catalog::Topic topic,
                const http::HttpServer::Responder& respond);
  void Append(const http::HttpRequest& request, catalog::Topic topic,
              const http::HttpServer::Responder& respond);

  KeyedStore& store;
  ProcessClock clock;
  KeyedStoreClient client;
  http::HttpServer server;
};

}  // namespace hawthornwheel::testing
