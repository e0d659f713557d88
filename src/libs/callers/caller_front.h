#pragma once

#include <cstddef>
#include <string>

#include "base/clock.h"
#include "http/http_server.h"

namespace hawthornwheel::base {
class Metrics;
class SettingsReader;
}  // namespace hawthornwheel::base
namespace hawthornwheel::dispatch {
class JobService;
}

namespace hawthornwheel::callers {

/// Settings of the callers' side.
struct CallerSettings {
  /// Reads and checks the group `[callers]`.
  static CallerSettings Read(base::SettingsReader& reader);

  /// `IP:port` to listen on.
  std::string address;
  std::size_t max_body_bytes = 8U << 20;
  /// Longest time that one call waits for an answer.
  base::Duration max_wait{60'000'000};
};

/// HTTP front for callers and the balancer:
///
///     POST   /v1/jobs?wait_ms=N        submit, and wait for the answer
///     GET    /v1/jobs/KEY?wait_ms=N    ask for an answer, and wait
///     DELETE /v1/jobs/KEY              cancel
///     GET    /v1/prefix                prefix for a new key
///     GET    /live, /ready             for the balancer
///
/// Bodies are JSON; failures carry the status of the error table.
class CallerFront {
 public:
  /// All references must outlive the front.
  CallerFront(dispatch::JobService& jobs, base::Metrics& metrics,
              const CallerSettings& settings);

  /// Listens and returns the port.
  base::Result<std::uint16_t> Listen();

  /// Calls that wait for an answer.
  std::size_t OpenRequests() const { return this->server.OpenRequests(); }

 private:
  void Handle(const http::HttpRequest& request,
              const http::HttpServer::Responder& respond);
  void HandleSubmit(const http::HttpRequest& request,
                    const http::HttpServer::Responder& respond);
  void HandleJob(const http::HttpRequest& request, const std::string& key,
                 const http::HttpServer::Responder& respond);
  base::Result<base::Duration> ParseWaitTime(
      const http::HttpRequest& request) const;

  dispatch::JobService& jobs;
  base::Metrics& metrics;
  const CallerSettings& settings;
  http::HttpServer server;
};

}  // namespace hawthornwheel::callers
