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

/// Starts and stops attempts, renews their leases and counts the slots in use.
/// A slot stays in use until the endpoint answers or, once a stop has begun,
/// until the endpoint confirms the stop or the lease of the attempt expires.
///
/// Owns these blackboard fields: `attempts`, `running` of the endpoints and
/// `running_tasks` of the services.
class AttemptController {
 public:
  /// Receives the outcome of an attempt whose job still needs it. `task` is the
  /// index of the task in the job.
  using OutcomeListener =
      std::function<void(JobId, std::uint32_t task, const AttemptResult&)>;

  /// All references must outlive the controller. `incarnation` makes attempt
  /// IDs unique among processes.
  AttemptController(base::Clock& clock, EndpointClient& client,
                    fleet::LeavingController& leaving, HealthController& health,
                    DispatchBoard& board, base::Metrics& metrics,
                    std::string incarnation);

  /// Starts the periodic renewal of leases.
  void Start();

  /// Sends the task with index `task` of `job` to `endpoint` as a new attempt.
  void StartAttempt(Job& job, std::uint32_t task, EndpointState& endpoint);

  /// Stops an attempt that its job no longer needs. The outcome listener is not
  /// called for it.
  void StopAttempt(AttemptNumber number);

  void SetOutcomeListener(OutcomeListener listener);

  /// Sets the function called after an attempt has finished or its slot has
  /// become free.
  void SetFinishOrReleaseListener(std::function<void()> listener);

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
  std::function<void()> finish_or_release_listener;
};

}  // namespace hawthornwheel::dispatch
