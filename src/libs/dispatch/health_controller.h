#pragma once

#include "base/clock.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/dispatch_settings.h"
#include "dispatch/endpoint_client.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::dispatch {

/// Learns the speed of endpoints and the run time of services, and quarantines
/// endpoints that fail what they start.
///
/// Owns on the blackboard: of EndpointState the health, failure and speed
/// fields; of ServiceLoad the learned figures.
class HealthController {
 public:
  /// All references must outlive the controller.
  HealthController(base::Clock& clock, DispatchBoard& board,
                   base::Metrics& metrics, const DispatchSettings& settings);

  /// Takes the outcome of an attempt that ends now.
  void OnOutcome(const Attempt& attempt, AttemptOutcome outcome);

  /// Lets endpoints whose quarantine has passed be probed.
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
