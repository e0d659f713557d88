#pragma once

#include <functional>

#include "base/clock.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/endpoint_selector.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::dispatch {

class AttemptController;

/// Starts queued tasks while endpoints have free slots. Writes nothing but the
/// order of the queue; attempts are started through AttemptController.
class RoutingController {
 public:
  /// Ends a job that can no longer make its deadline.
  using ExpiryListener = std::function<void(JobId)>;

  /// All references must outlive the controller.
  RoutingController(base::Clock& clock, DispatchBoard& board,
                    AttemptController& attempts, EndpointSelector& selector,
                    base::Metrics& metrics);

  void SetExpiryListener(ExpiryListener listener);

  /// Sets the function called after Run() has left tasks in the queue.
  void SetStarvedListener(std::function<void()> listener);

  /// Starts what can be started. A call from within is taken up at its end.
  void Run();

 private:
  bool StartOne();
  bool IsEligible(const std::string& service) const;
  bool IsLive(JobId id) const;
  bool CanMakeDeadline(const Job& job, const Task& task,
                       const EndpointState& endpoint,
                       base::TimePoint now) const;
  double CostOf(const Job& job, const Task& task) const;

  base::Clock& clock;
  DispatchBoard& board;
  AttemptController& attempts;
  EndpointSelector& selector;
  base::Metrics& metrics;
  ExpiryListener expiry_listener;
  std::function<void()> starved_listener;
  bool running = false;
  bool run_again = false;
};

}  // namespace hawthornwheel::dispatch
