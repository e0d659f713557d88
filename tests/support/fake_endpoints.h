#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "dispatch/endpoint_client.h"
#include "support/process_clock.h"
#include "support/random.h"

namespace hawthornwheel::testing {

/// Behaviour of a fake endpoint.
enum class EndpointMode {
  kNormal,
  /// Fails every task immediately.
  kFailing,
  /// Starts tasks and never answers.
  kHanging,
  /// Refuses every task.
  kRefusing,
  /// Refuses every task and reports that it is leaving.
  kLeaving,
  /// Accepts no connections.
  kDown,
};

/// Holds the state and the counters of one fake endpoint.
struct FakeEndpoint {
  std::string address;
  /// Factor on the run time of every task.
  double slowness = 1;
  EndpointMode mode = EndpointMode::kNormal;
  std::uint32_t running = 0;
  /// Highest number of tasks that ran at the same time.
  std::uint32_t max_running = 0;
  std::uint64_t starts = 0;
  base::TimePoint last_start;
};

/// Simulates the endpoints of a test for all its processes. A payload is
/// `RUN_TIME:TEXT` with the run time in microseconds; TEXT is the result.
class FakeEndpoints {
 public:
  /// References must outlive the endpoints.
  FakeEndpoints(base::Clock& clock, Random& random);

  FakeEndpoint& Add(const std::string& address, double slowness = 1);
  FakeEndpoint& At(const std::string& address);
  std::map<std::string, FakeEndpoint>& All() { return this->endpoints; }

  /// Sets the fractions, from 0 to 1, of requests that are lost, of answers
  /// that are lost, and of answers that name another attempt.
  void SetFaults(double lost_requests, double lost_answers,
                 double mismatched_answers);

  /// Number of starts by task id.
  const std::unordered_map<std::string, std::uint32_t>& Starts() const {
    return this->starts;
  }

  /// Number of requests of all kinds, including those to endpoints that are
  /// down.
  std::uint64_t Messages() const { return this->messages; }

 private:
  friend class FakeEndpointClient;

  struct Run {
    std::string endpoint;
    base::TimerId end_timer = 0;
    base::TimerId lease_timer = 0;
  };

  using Answer = std::function<void(dispatch::AttemptResult)>;

  /// Applies the endpoint's mode and the request faults, then starts the run.
  void HandleStart(const dispatch::TaskCall& call, const Answer& answer);
  void StartRun(FakeEndpoint& endpoint, const dispatch::TaskCall& call,
                const Answer& answer);
  /// Sets or renews the lease of a run, which ends when the lease expires.
  void SetLease(const std::string& attempt, base::Duration lease);
  void EndRun(const std::string& attempt);

  base::Clock& clock;
  Random& random;
  std::map<std::string, FakeEndpoint> endpoints;
  std::unordered_map<std::string, std::uint32_t> starts;
  std::unordered_map<std::string, Run> runs;
  std::uint64_t messages = 0;
  double lost_requests = 0;
  double lost_answers = 0;
  double mismatched_answers = 0;
};

}  // namespace hawthornwheel::testing
