#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hawthornwheel::testing {

/// What a RawServer does after it has read one request.
struct RawResponse {
  /// Bytes sent as they are.
  std::string bytes;
  /// Whether the connection is closed then.
  bool close = false;
};

/// TCP server that reads HTTP requests and answers with scripted bytes, for
/// faults that an HTTP library does not produce.
class RawServer {
 public:
  /// Gets the text of the request and its number, from 1.
  using Script = std::function<RawResponse(const std::string&, int)>;

  explicit RawServer(Script script);
  ~RawServer();

  /// `127.0.0.1:port`.
  std::string Address() const;

  /// Requests read so far, over all connections.
  int Requests() const;

  /// Connections accepted so far.
  int Connections() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::testing
