#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "http/http_request.h"

namespace hawthornwheel::http {

/// One call of an AsyncHttpClient.
struct HttpCall {
  std::string method;
  /// `IP:port`.
  std::string address;
  /// Path with its query.
  std::string target;
  std::string content_type;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  /// After this long the connection is closed and the call has failed.
  base::Duration timeout{0};
};

/// HTTP client on the GLib main loop. It keeps connections open between calls;
/// each call has a time limit of its own, which also ends silent connections.
class AsyncHttpClient {
 public:
  using Handler = std::function<void(base::Result<HttpReply>)>;

  /// At most `connections` to one address. `clock` must outlive the client.
  AsyncHttpClient(base::Clock& clock, unsigned connections);
  ~AsyncHttpClient();

  /// Sends a call. kOutcomeUnknown when there was no answer, whether or not
  /// the server got it. The handler is not called after the client is gone.
  void Send(const HttpCall& call, Handler done);

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::http
