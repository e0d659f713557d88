#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "http/http_request.h"

namespace hawthornwheel::http {

/// HTTP server on the GLib main loop.
class HttpServer {
 public:
  /// Sends the answer; may be called later, and does nothing when the client
  /// has gone.
  using Responder = std::function<void(HttpReply)>;
  using Handler = std::function<void(const HttpRequest&, Responder)>;

  /// `max_body_bytes` bounds request bodies; larger ones get `too_large_body`
  /// with status 413 before they are read.
  HttpServer(std::size_t max_body_bytes, std::string too_large_body,
             Handler handler);
  ~HttpServer();

  /// Listens on `IP:port` and returns the port, which the kernel chooses when
  /// it is 0.
  base::Result<std::uint16_t> Listen(const std::string& address);

  /// Takes no new connections.
  void StopListening();

  /// Requests that wait for their answer.
  std::size_t OpenRequests() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::http
