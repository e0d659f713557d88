#include "dispatch/drain_controller.h"

#include <chrono>
#include <utility>

#include "base/logger.h"
#include "dispatch/job_lifecycle.h"
#include "fleet/membership_controller.h"

namespace hawthornwheel::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Logger kLog("drain");

constexpr base::Duration kCheckInterval = milliseconds(50);
// Maximum time to wait until the log confirms the leave. An unreachable log
// must not delay the exit for longer.
constexpr base::Duration kMaxLeaveTime = seconds(2);
// Time between the leave and the exit, in which the load balancer notices that
// the process is not ready and callers read their answers.
constexpr base::Duration kExitDelay = milliseconds(500);

}  // namespace

DrainController::DrainController(base::Clock& clock, DispatchBoard& board,
                                 JobLifecycle& jobs,
                                 fleet::MembershipController& membership,
                                 const DispatchSettings& settings)
    : clock(clock),
      board(board),
      jobs(jobs),
      membership(membership),
      settings(settings),
      check_timer(clock),
      leave_timer(clock) {}

void DrainController::Begin(std::function<void()> done) {
  if (this->board.draining) return;
  kLog.Info("Draining. open_jobs={}", this->jobs.OpenJobs());
  this->board.draining = true;
  this->done = std::move(done);
  this->drain_deadline = this->clock.Now() + this->settings.drain_timeout;
  this->check_timer.StartPeriodic(kCheckInterval, [this] { this->Check(); });
}

void DrainController::CancelOpenJobs() {
  if (!this->board.draining) return;
  kLog.Warning("Cancelling open jobs. open_jobs={}", this->jobs.OpenJobs());
  this->jobs.FailAll(
      base::ErrorKind::kCancelled,
      "the process is stopping and does not wait for the job to end");
}

void DrainController::Check() {
  if (this->jobs.OpenJobs() > 0 && this->clock.Now() >= this->drain_deadline) {
    this->CancelOpenJobs();
  }
  if (this->jobs.OpenJobs() > 0 || !this->board.attempts.empty()) return;
  if (this->leaving) return;
  this->leaving = true;
  this->LeaveFleet();
}

void DrainController::LeaveFleet() {
  this->leave_timer.StartOnce(kMaxLeaveTime, [this] { this->Finish(); });
  this->membership.Leave([this] {
    this->leave_timer.StartOnce(kExitDelay, [this] { this->Finish(); });
  });
}

void DrainController::Finish() {
  this->check_timer.Stop();
  kLog.Info("Drained.");
  if (this->done) std::exchange(this->done, nullptr)();
}

}  // namespace hawthornwheel::dispatch
