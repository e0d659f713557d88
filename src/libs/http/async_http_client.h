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

/// Describes one call of an AsyncHttpClient.
struct HttpCall {
  std::string method;
  /// `IP:port`.
  std::string address;
  /// Path and query.
  std::string target;
  std::string content_type;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  /// Time limit; when it expires, the connection is closed and the call fails.
  /// A call is not sent after it, also when the process was paused meanwhile.
  base::Duration timeout{0};
  /// Whether the server may carry out the call more than once. The client then
  /// sends it again by itself when a kept connection ends before the answer
  /// begins.
  bool repeatable = false;
};

/// Sends HTTP calls on the GLib main loop. Keeps connections open between
/// calls. Each call has its own time limit, which also closes connections that
/// do not respond.
class AsyncHttpClient {
 public:
  using Handler = std::function<void(base::Result<HttpReply>)>;

  /// Opens at most `connections` connections to one address. `clock` must
  /// outlive the client.
  AsyncHttpClient(base::Clock& clock, unsigned connections);
  ~AsyncHttpClient();

  /// Sends a call, once unless it is repeatable. Passes kOutcomeUnknown to
  /// `done` if there was no complete answer; the server may or may not have
  /// received the request. Passes kNotSent if no connection could be opened, or
  /// none became free in time. `done` is not called after the client is
  /// destroyed.
  void Send(const HttpCall& call, Handler done);

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::http
