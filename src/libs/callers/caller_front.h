#pragma once

#include <cstddef>
#include <string>

#include "base/clock.h"
#include "http/connection_limits.h"
#include "http/http_server.h"

namespace hawthornwheel::base {
class Metrics;
class SettingsReader;
}  // namespace hawthornwheel::base
namespace hawthornwheel::dispatch {
class JobService;
}

namespace hawthornwheel::callers {

/// Holds the settings of the callers' interface.
struct CallerSettings {
  /// Reads and checks the group `[callers]`. Adds any faults to `reader`.
  static CallerSettings Read(base::SettingsReader& reader);

  /// `IP:port` to listen on.
  std::string address;
  /// Maximum size of a request body.
  std::size_t max_body_bytes = 8U << 20;
  /// Maximum time that a request waits for the end of its job.
  base::Duration max_wait{60'000'000};
  http::ConnectionLimits connections;
};

/// Serves the HTTP interface for callers and the load balancer:
///
///     POST   /v1/jobs?wait_ms=N        submits a job and waits for its end
///     GET    /v1/jobs/KEY?wait_ms=N    waits for the end of a submitted job
///     DELETE /v1/jobs/KEY              cancels a job
///     GET    /v1/prefix                returns the prefix for new keys
///     GET    /live, /ready             health checks of the load balancer
///
/// A wait ends after N milliseconds, at most after `max_wait`; the answer then
/// has the state PENDING. Bodies are JSON, except those of `/live` and
/// `/ready`, which are plain text. The HTTP status of a failure comes from the
/// table of error kinds.
class CallerFront {
 public:
  /// All references must outlive the front.
  CallerFront(base::Clock& clock, dispatch::JobService& jobs,
              base::Metrics& metrics, const CallerSettings& settings);

  /// Listens on the address of the settings and returns the port.
  base::Result<std::uint16_t> Listen();

  /// Returns the number of requests that wait for an answer.
  std::size_t OpenRequests() const { return this->server.OpenRequests(); }

 private:
  void Handle(const http::HttpRequest& request,
              const http::HttpServer::Responder& respond);
  void HandleSubmit(const http::HttpRequest& request,
                    const http::HttpServer::Responder& respond);
  void HandleJob(const http::HttpRequest& request, const std::string& key,
                 const http::HttpServer::Responder& respond);
  /// Returns the `wait_ms` parameter, limited to `max_wait`, or `max_wait` when
  /// there is none. Fails with kInvalidRequest when it is not a whole number.
  base::Result<base::Duration> ParseWaitTime(
      const http::HttpRequest& request) const;

  dispatch::JobService& jobs;
  base::Metrics& metrics;
  const CallerSettings& settings;
  http::HttpServer server;
};

}  // namespace hawthornwheel::callers
