#pragma once

#include <functional>

#include "base/clock.h"
#include "base/timer.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/dispatch_settings.h"

namespace hawthornwheel::fleet {
class MembershipController;
}

namespace hawthornwheel::dispatch {

class JobLifecycle;

/// Stops the process in good order: takes no new jobs, lets those it holds end,
/// and leaves the fleet.
///
/// Owns on the blackboard: `draining`.
class DrainController {
 public:
  /// All references must outlive the controller.
  DrainController(base::Clock& clock, DispatchBoard& board, JobLifecycle& jobs,
                  fleet::MembershipController& membership,
                  const DispatchSettings& settings);

  /// Starts to drain; `done` runs when the process may exit.
  void Begin(std::function<void()> done);

  /// Whether a planned stop has begun.
  bool IsDraining() const { return this->board.draining; }

  /// Ends at once what is left, truthfully. Used for a second signal.
  void CancelOpenJobs();

 private:
  void Check();
  void LeaveFleet();
  void Finish();

  base::Clock& clock;
  DispatchBoard& board;
  JobLifecycle& jobs;
  fleet::MembershipController& membership;
  const DispatchSettings& settings;
  base::Timer check_timer;
  base::Timer leave_timer;
  base::TimePoint drain_deadline;
  bool leaving = false;
  std::function<void()> done;
};

}  // namespace hawthornwheel::dispatch
