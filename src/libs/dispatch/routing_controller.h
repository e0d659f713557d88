#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/endpoint_selector.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::dispatch {

class AttemptController;

/// Starts queued tasks while endpoints have free slots. Writes the queue,
/// `queued` of the jobs and the counts of queued tasks; AttemptController
/// starts the attempts.
class RoutingController {
 public:
  /// Ends a job that can no longer meet its deadline.
  using ExpiryListener = std::function<void(JobId)>;

  /// All references must outlive the controller.
  RoutingController(base::Clock& clock, DispatchBoard& board,
                    AttemptController& attempts, EndpointSelector& selector,
                    base::Metrics& metrics);

  void SetExpiryListener(ExpiryListener listener);

  /// Sets the function called at the end of each Run(), when all tasks that can
  /// start have started and others may be left in the queue.
  void SetRunEndListener(std::function<void()> listener);

  /// Starts all queued tasks that can start. A call during a run returns at
  /// once and makes that run repeat when it ends.
  void Run();

 private:
  /// Holds the position of a task in `queued` of its job and the endpoint that
  /// starts it.
  struct Choice {
    std::size_t position = 0;
    EndpointState* endpoint = nullptr;
  };

  Choice Choose(const Job& job, base::TimePoint now);
  EndpointState* SelectFor(const Job& job, const Task& task,
                           base::TimePoint now);
  bool StartOne();
  bool IsEligible(const std::string& service) const;
  bool HasQueuedTasks(JobId id) const;
  /// Returns the endpoints, free or busy, at which the task may end in time.
  std::vector<EndpointState*> EndpointsInTime(const Job& job, const Task& task,
                                              base::TimePoint now) const;
  double CostOf(const Job& job, const Task& task) const;

  base::Clock& clock;
  DispatchBoard& board;
  AttemptController& attempts;
  EndpointSelector& selector;
  base::Metrics& metrics;
  ExpiryListener expiry_listener;
  std::function<void()> run_end_listener;
  /// Services whose next task waits for a faster endpoint during this run.
  std::set<std::string> deferred;
  bool running = false;
  bool run_again = false;
};

}  // namespace hawthornwheel::dispatch
