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

/// How an endpoint of a test behaves.
enum class EndpointMode {
  kNormal,
  /// Fails every task at once.
  kFailing,
  /// Starts tasks and never answers.
  kHanging,
  /// Refuses every task.
  kRefusing,
  /// Refuses every task and says that it leaves.
  kLeaving,
  /// Takes no connection.
  kDown,
};

/// One endpoint of a test.
struct FakeEndpoint {
  std::string address;
  double slowness = 1;
  EndpointMode mode = EndpointMode::kNormal;
  std::uint32_t running = 0;
  std::uint32_t max_running = 0;
  std::uint64_t starts = 0;
  base::TimePoint last_start;
};

/// Endpoints of a test, shared by its processes. A payload is `run time in
/// microseconds:text`; the text is the result.
class FakeEndpoints {
 public:
  /// References must outlive the endpoints.
  FakeEndpoints(base::Clock& clock, Random& random);

  FakeEndpoint& Add(const std::string& address, double slowness = 1);
  FakeEndpoint& At(const std::string& address);
  std::map<std::string, FakeEndpoint>& All() { return this->endpoints; }

  /// Shares of attempts whose request or answer is lost on the way, and of
  /// answers that name another attempt.
  void SetFaults(double lost_requests, double lost_answers,
                 double mismatched_answers);

  /// Starts by task id.
  const std::unordered_map<std::string, std::uint32_t>& Starts() const {
    return this->starts;
  }

  /// Requests of all kinds that the endpoints got.
  std::uint64_t Messages() const { return this->messages; }

 private:
  friend class FakeEndpointClient;

  struct Run {
    std::string endpoint;
    base::TimerId end_timer = 0;
    base::TimerId lease_timer = 0;
  };

  using Answer = std::function<void(dispatch::AttemptResult)>;

  void HandleStart(const dispatch::TaskCall& call, const Answer& answer);
  void StartRun(FakeEndpoint& endpoint, const dispatch::TaskCall& call,
                const Answer& answer);
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
