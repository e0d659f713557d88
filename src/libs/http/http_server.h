#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "http/connection_limits.h"
#include "http/http_request.h"

namespace hawthornwheel::http {

/// Serves HTTP requests on the GLib main loop.
class HttpServer {
 public:
  /// Sends the answer. May be called after the handler has returned; does
  /// nothing if the client has closed the connection.
  using Responder = std::function<void(HttpReply)>;
  using Handler = std::function<void(const HttpRequest&, Responder)>;

  /// Passes requests to `handler`. Answers requests with a body larger than
  /// `max_body_bytes`, or with chunked encoding, with status 413 and
  /// `too_large_body` before their body is read.
  HttpServer(std::size_t max_body_bytes, std::string too_large_body,
             Handler handler);
  ~HttpServer();

  /// Applies `limits` to the connections from now on. `clock` must outlive the
  /// server.
  void LimitConnections(base::Clock& clock, const ConnectionLimits& limits);

  /// Listens on `IP:port` and returns the port. The kernel chooses a port if it
  /// is 0. Returns kInvalidSettings if the address is invalid or cannot be
  /// bound.
  base::Result<std::uint16_t> Listen(const std::string& address);

  /// Stops accepting new connections.
  void StopListening();

  /// Closes all connections and stops accepting new ones. No further request
  /// is handled; answers that are not written yet are lost.
  void Disconnect();

  /// Returns whether bytes or connections have arrived that have not been read
  /// or accepted. Knows the bytes only of a server with limits.
  bool HasUnreadRequests() const;

  /// Returns the number of requests that have not been answered yet.
  std::size_t OpenRequests() const;

  /// Returns the number of open connections; 0 without limits.
  std::size_t ConnectionCount() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::http
