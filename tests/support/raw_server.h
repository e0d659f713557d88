#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hawthornwheel::testing {

/// Holds the response of a RawServer to one request.
struct RawResponse {
  /// Bytes that are sent unchanged.
  std::string bytes;
  /// Closes the connection after the bytes.
  bool close = false;
};

/// Reads HTTP requests over TCP and answers with scripted bytes, to produce
/// faults that an HTTP library cannot produce.
class RawServer {
 public:
  /// Receives the text of the request and its number, counted from 1.
  using Script = std::function<RawResponse(const std::string&, int)>;

  explicit RawServer(Script script);
  ~RawServer();

  /// Returns `127.0.0.1:port`.
  std::string Address() const;

  /// Number of requests read over all connections.
  int Requests() const;

  /// Number of connections accepted.
  int Connections() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::testing
