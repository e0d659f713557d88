#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "http/http_server.h"

namespace hawthornwheel::standins {

/// Holds the counters of all endpoints of one stand-in process.
struct EndpointCounts {
  /// Number of starts by task id.
  std::unordered_map<std::string, std::uint32_t> starts;
  /// Number of tasks that ended with a result, of those that a stop ended, and
  /// of those whose lease expired.
  std::uint64_t completed = 0;
  std::uint64_t stopped = 0;
  std::uint64_t expired = 0;
  /// Number of stop requests and of renewal requests.
  std::uint64_t stops = 0;
  std::uint64_t renewals = 0;
  /// Highest number of tasks that ran at one endpoint at the same time.
  std::uint32_t max_running = 0;

  /// Returns the number of tasks that started more than once.
  std::uint64_t Duplicates() const;
};

/// Stands in for one endpoint. The payload controls each task with pairs that
/// are separated by semicolons: `run=MS` (run time), `say=TEXT` (result),
/// `fail=1`, `refuse=1`, `cross=1` (the answer names another attempt), `hang=1`
/// (no answer). Runs every task that it receives, without a limit of slots.
class EndpointServer {
 public:
  /// References must outlive the server. Run times are multiplied by
  /// `slowness`.
  EndpointServer(base::Clock& clock, EndpointCounts& counts, double slowness);

  /// Listens on `address` and returns the port.
  base::Result<std::uint16_t> Listen(const std::string& address);

  /// Refuses all new tasks, as a leaving endpoint does.
  void SetLeaving(bool leaving) { this->leaving = leaving; }

  /// Fails all new tasks immediately.
  void SetFailing(bool failing) { this->failing = failing; }

  std::uint32_t Running() const {
    return static_cast<std::uint32_t>(this->running.size());
  }

 private:
  struct Run {
    base::TimerId end_timer = 0;
    base::TimerId lease_timer = 0;
    http::HttpServer::Responder respond;
  };

  void Handle(const http::HttpRequest& request,
              const http::HttpServer::Responder& respond);
  void StartTask(const http::HttpRequest& request,
                 const http::HttpServer::Responder& respond);
  void EndTask(const std::string& attempt, http::HttpReply reply);
  void StopTasks(const std::string& body);
  void RenewTasks(const http::HttpRequest& request);
  void SetLease(const std::string& attempt, Run& run, std::int64_t lease_ms);

  base::Clock& clock;
  EndpointCounts& counts;
  double slowness;
  bool leaving = false;
  bool failing = false;
  std::unordered_map<std::string, Run> running;
  http::HttpServer server;
};

}  // namespace hawthornwheel::standins
