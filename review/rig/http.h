#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace review {

/// Holds an HTTP request. Names of headers are in lower case.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Holds an HTTP response.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Closes the connection instead of answering.
  bool close_unanswered = false;
};

/// Splits a buffered HTTP message. Returns the size of the first complete
/// message in `buffer`, or 0 when it is incomplete.
std::size_t ParseMessage(const std::string& buffer, std::string* first_line,
                         std::map<std::string, std::string>* headers,
                         std::string* body);

/// Opens a TCP connection to `IP:port`. Returns -1 when that fails.
int ConnectTo(const std::string& address);

/// Sends a request on a connection of its own and returns the response. The
/// status is 0 when none arrives within `timeout_ms`.
HttpResponse Call(const std::string& address, const std::string& method,
                  const std::string& path, const std::string& body,
                  int timeout_ms);

}  // namespace review
