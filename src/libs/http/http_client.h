#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "http/http_request.h"

namespace hawthornwheel::http {

/// Blocking HTTP client for command-line programs.
class HttpClient {
 public:
  explicit HttpClient(base::Duration timeout);
  ~HttpClient();

  /// Sends a request to `address` (`IP:port`); `target` is the path with its
  /// query. A POST is not resent.
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
