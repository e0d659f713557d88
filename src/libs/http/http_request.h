#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace hawthornwheel::http {

/// Holds a request as received by a server.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  /// Function with which OnClosed() registers its callback; set by the server.
  std::function<void(std::function<void()>)> watch_connection;

  /// Calls `on_closed` if the client closes its connection before the answer is
  /// sent.
  void OnClosed(std::function<void()> on_closed) const {
    if (this->watch_connection) this->watch_connection(std::move(on_closed));
  }

  /// Returns the value of a query parameter, or `fallback` if it is absent.
  std::string Query(const std::string& name,
                    const std::string& fallback = "") const {
    const auto found = this->query.find(name);
    return found == this->query.end() ? fallback : found->second;
  }

  /// Returns the value of a header, or an empty string if it is absent. `name`
  /// must be in lower case.
  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
};

/// Holds the answer to a request.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::map<std::string, std::string> headers;
};

}  // namespace hawthornwheel::http
