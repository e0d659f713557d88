#include "node/drain.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "base/logger.h"
#include "node/drainable.h"

namespace hawthornwheel::node {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("drain");

// Minimum time for which a stopping process continues to serve. The balancer
// removes a process only after two failed readiness checks, 1 s apart, and
// callers keep their connections open.
constexpr base::Duration kMinDrainTime = milliseconds(2'500);
constexpr base::Duration kCheckInterval = milliseconds(100);
// Remaining time at which open jobs are interrupted: two checks, the answers,
// and the exit of a process with a tenth of a core.
constexpr base::Duration kInterruptReserve = milliseconds(600);
// Number of checks whose lateness counts, about a second.
constexpr std::size_t kRememberedChecks = 10;
// Longer delays are pauses, and the next one is not foreseeable.
constexpr base::Duration kMaxDelay = milliseconds(400);
// Remaining time at which the process ends, whatever is open: a check, and the
// exit of a process with a tenth of a core.
constexpr base::Duration kExitReserve = milliseconds(300);
// Remaining time from which on all new jobs are rejected. Until then, only
// those are that cannot end before the process stops.
constexpr base::Duration kNewJobReserve = milliseconds(1'900);

}  // namespace

const char* Drain::NameOf(Cause cause) {
  constexpr std::array kNames = {"idle", "interrupted", "out of time"};
  return kNames[static_cast<std::size_t>(cause)];
}

Drain::Drain(base::Clock& clock, Drainable& work, base::Duration time,
             std::function<void()> on_drained)
    : clock(clock),
      work(work),
      time(time),
      on_drained(std::move(on_drained)),
      check_timer(clock) {}

void Drain::Begin(base::TimePoint requested_at) {
  this->begun = true;
  this->requested_at = requested_at;
  this->begun_at = this->clock.Now();
  kLog.Info("Stopping. open_jobs={} requested_ms_ago={}", this->work.OpenJobs(),
            (this->begun_at - requested_at) / milliseconds(1));
  this->checked_at = this->begun_at;
  this->LimitNewJobs();
  this->check_timer.StartPeriodic(kCheckInterval, [this] { this->Check(); });
}

base::Duration Drain::TimeLeft() const {
  return this->requested_at + this->time - this->clock.Now();
}

// Returns the remaining time at which open jobs are interrupted. A late process
// is late twice until their callers are answered: for the check, and in the
// iteration of the event loop that writes the answers.
base::Duration Drain::InterruptReserve() const {
  base::Duration delay{0};
  for (const base::Duration& recent : this->delays) {
    delay = std::max(delay, recent);
  }
  return kInterruptReserve + 2 * std::min(delay, kMaxDelay);
}

void Drain::RecordDelay() {
  const base::TimePoint now = this->clock.Now();
  this->delays.push_back(now - this->checked_at - kCheckInterval);
  if (this->delays.size() > kRememberedChecks) this->delays.pop_front();
  this->checked_at = now;
}

// Makes new jobs end before the process stops.
void Drain::LimitNewJobs() {
  this->work.EndNewJobsBy(this->requested_at + this->time -
                          this->InterruptReserve());
}

void Drain::Check() {
  this->RecordDelay();
  this->LimitNewJobs();
  const base::Duration left = this->TimeLeft();
  if (left <= kNewJobReserve) this->work.RejectNewJobs();
  const bool is_idle = this->work.OpenJobs() == 0 && !this->work.HostsTasks() &&
                       !this->work.HasOpenRequests();
  if (is_idle && this->clock.Now() - this->begun_at >= kMinDrainTime) {
    this->Finish(this->interrupted ? Cause::kInterrupted : Cause::kIdle);
    return;
  }
  if (!this->interrupted && left > this->InterruptReserve()) return;
  if (this->work.OpenJobs() > 0) {
    // The answers are sent in the next iteration of the event loop, so the
    // process stops at a later check.
    this->interrupted = true;
    this->work.InterruptJobs();
    return;
  }
  if (!this->work.HasOpenRequests()) {
    this->Finish(this->interrupted ? Cause::kInterrupted : Cause::kIdle);
  } else if (left <= kExitReserve) {
    this->Finish(Cause::kOutOfTime);
  }
}

void Drain::Hasten() {
  kLog.Warning("Interrupting open jobs. open_jobs={}", this->work.OpenJobs());
  this->interrupted = true;
  this->work.RejectNewJobs();
  this->work.InterruptJobs();
}

void Drain::Finish(Cause cause) {
  this->check_timer.Stop();
  kLog.Info(
      "Stopped. cause=\"{}\" drain_ms={} open_jobs={} open_requests={} "
      "delay_ms={}",
      NameOf(cause), (this->clock.Now() - this->begun_at) / milliseconds(1),
      this->work.OpenJobs(), this->work.HasOpenRequests(),
      (this->InterruptReserve() - kInterruptReserve) / milliseconds(2));
  // The rest of this iteration of the event loop could read a request that
  // nobody would answer.
  this->work.Disconnect();
  this->on_drained();
}

}  // namespace hawthornwheel::node
