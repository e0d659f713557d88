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

/// Drains the process before it exits: refuses new jobs, waits until all open
/// jobs have ended and all attempts have released their slots, and leaves the
/// fleet.
///
/// Owns this blackboard field: `draining`.
class DrainController {
 public:
  /// All references must outlive the controller.
  DrainController(base::Clock& clock, DispatchBoard& board, JobLifecycle& jobs,
                  fleet::MembershipController& membership,
                  const DispatchSettings& settings);

  /// Starts the drain. `done` runs when the process may exit.
  void Begin(std::function<void()> done);

  /// Returns whether the drain has begun.
  bool IsDraining() const { return this->board.draining; }

  /// Cancels all open jobs during a drain. Their answers still state whether
  /// tasks may have run. Used on the drain timeout and on a second stop signal.
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
