#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "http/http_request.h"

namespace hawthornwheel::http {

/// Sends blocking HTTP requests for command-line programs.
class HttpClient {
 public:
  /// `timeout` is rounded down to whole seconds, with a minimum of 1 s.
  explicit HttpClient(base::Duration timeout);
  ~HttpClient();

  /// Sends a request to `address` (`IP:port`) and waits for the answer.
  /// `target` is the path and query. `token`, if not empty, is sent as a bearer
  /// token. Returns kInvalidRequest for an invalid address and kInternal if
  /// there is no answer. A POST is not resent.
  base::Result<HttpReply> Send(const std::string& method,
                               const std::string& address,
                               const std::string& target,
                               const std::string& body = "",
                               const std::string& token = "");

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::http
