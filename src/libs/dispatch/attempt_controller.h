#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/timer.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/endpoint_client.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::fleet {
class LeavingController;
}

namespace hawthornwheel::dispatch {

class HealthController;

/// Starts, renews and stops attempts, and keeps the count of slots in use. A
/// slot stays in use until the endpoint has answered, has confirmed a stop, or
/// the lease of the attempt has passed.
///
/// Owns on the blackboard: `attempts`, `running` of the endpoints and
/// `running_tasks` of the services.
class AttemptController {
 public:
  /// Takes the outcome of a task's attempt that still matters to its job.
  using OutcomeListener =
      std::function<void(JobId, std::uint32_t task, const AttemptResult&)>;

  /// All references must outlive the controller. `incarnation` makes attempt
  /// ids unique among processes.
  AttemptController(base::Clock& clock, EndpointClient& client,
                    fleet::LeavingController& leaving, HealthController& health,
                    DispatchBoard& board, base::Metrics& metrics,
                    std::string incarnation);

  /// Starts the renewal of leases.
  void Start();

  /// Starts a task of `job` at `endpoint`.
  void StartAttempt(Job& job, std::uint32_t task, EndpointState& endpoint);

  /// Stops an attempt whose job no longer wants it.
  void StopAttempt(AttemptNumber number);

  void SetOutcomeListener(OutcomeListener listener);

  /// Sets the function called after a slot became free.
  void SetSlotListener(std::function<void()> listener);

 private:
  std::string AttemptId(AttemptNumber number) const;
  void OnResult(AttemptNumber number, const AttemptResult& result);
  void OnTimeout(AttemptNumber number);
  void FinishAttempt(Attempt& attempt, const AttemptResult& result);
  void BeginStop(Attempt& attempt);
  void OnStopped(AttemptNumber number, bool confirmed);
  void ReleaseSlot(AttemptNumber number);
  void RenewLeases();
  void FinishExpiredAttempts();
  void RenewLeasesAt(const std::string& address,
                     std::vector<AttemptNumber> numbers);

  base::Clock& clock;
  EndpointClient& client;
  fleet::LeavingController& leaving;
  HealthController& health;
  DispatchBoard& board;
  base::Metrics& metrics;
  std::string incarnation;
  base::Timer renew_timer;
  AttemptNumber last_attempt = 0;
  OutcomeListener outcome_listener;
  std::function<void()> slot_listener;
};

}  // namespace hawthornwheel::dispatch
