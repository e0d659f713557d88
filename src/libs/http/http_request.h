#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace hawthornwheel::http {

/// Request as a server got it.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  /// Set by the server; see OnClosed().
  std::function<void(std::function<void()>)> watch_connection;

  /// Calls `gone` when the client closes its connection before the answer.
  void OnClosed(std::function<void()> on_closed) const {
    if (this->watch_connection) this->watch_connection(std::move(on_closed));
  }

  /// Value of a query parameter, or `fallback`.
  std::string Query(const std::string& name,
                    const std::string& fallback = "") const {
    const auto found = this->query.find(name);
    return found == this->query.end() ? fallback : found->second;
  }

  /// Value of a header, or the empty text.
  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
};

/// Answer to a request.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::map<std::string, std::string> headers;
};

}  // namespace hawthornwheel::http
