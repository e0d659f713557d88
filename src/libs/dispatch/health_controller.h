#pragma once

#include "base/clock.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/dispatch_settings.h"
#include "dispatch/endpoint_client.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::dispatch {

/// Learns the speed of endpoints and the run times of services, and quarantines
/// endpoints whose attempts fail.
///
/// Owns these blackboard fields: the health, failure, refusal and speed fields
/// of EndpointState, and the learned values of ServiceLoad.
class HealthController {
 public:
  /// All references must outlive the controller.
  HealthController(base::Clock& clock, DispatchBoard& board,
                   base::Metrics& metrics, const DispatchSettings& settings);

  /// Updates the learned values and the health of the endpoint with the outcome
  /// of an attempt that ends now.
  void OnOutcome(const Attempt& attempt, AttemptOutcome outcome);

  /// Starts to probe endpoints whose quarantine has ended.
  void ReleaseQuarantines();

 private:
  void OnSuccess(const Attempt& attempt, ServiceLoad& load);
  void OnProbeSuccess(EndpointState& endpoint);
  void OnRefusal(EndpointState& endpoint);
  void OnFailure(EndpointState& endpoint, ServiceLoad& load);
  bool MayQuarantine(const EndpointState& endpoint,
                     const ServiceLoad& load) const;
  void Quarantine(EndpointState& endpoint);

  base::Clock& clock;
  DispatchBoard& board;
  base::Metrics& metrics;
  const DispatchSettings& settings;
};

}  // namespace hawthornwheel::dispatch
