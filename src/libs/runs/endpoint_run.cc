#include "runs/endpoint_run.h"

#include <algorithm>
#include <chrono>

namespace hawthornwheel::runs {
namespace {

using std::chrono::milliseconds;

// Runs with an estimate of at least kLongEstimate are watched during their
// first kProgressWatchTime, so that an overdue run is found while there is
// still time to run its task at another endpoint.
constexpr base::Duration kLongEstimate = milliseconds(350);
constexpr base::Duration kProgressWatchTime = milliseconds(500);
// Median run time of a run that has reached its expected run time, as a
// multiple of that time. It follows from the standard deviation of the
// logarithm of the real run time: 0.45 around a declared one, 0.12 around a
// projected one.
constexpr double kLateDeclaredFactor = 1.35;
constexpr double kLateProjectedFactor = 1.08;
// Number of stop orders that may be lost one by one. If more have no answer,
// the endpoint probably carries out none.
constexpr int kMaxLostStops = 3;

base::Duration Scale(base::Duration span, double factor) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(span.count()) * factor));
}

}  // namespace

bool EndpointRun::IsWatched(base::TimePoint now) const {
  return this->order.estimate >= kLongEstimate &&
         now - this->started < kProgressWatchTime;
}

void EndpointRun::OnAccepted(std::int64_t reported_start_ms) {
  this->start_answered = true;
  if (reported_start_ms != 0) this->incarnation_start_ms = reported_start_ms;
  if (this->state != State::kStarting) return;
  this->state = State::kRunning;
  this->timer->Stop();
}

void EndpointRun::OnListed(std::int64_t listed_start_ms) {
  this->start_answered = true;
  this->incarnation_start_ms = listed_start_ms;
  this->overtaken_by_restart = false;
  if (this->state != State::kStarting) return;
  this->state = State::kRunning;
  this->timer->Stop();
}

std::optional<RunOutcome> EndpointRun::OutcomeIfAbsent(
    std::uint64_t list_fence) const {
  // This incarnation now rejects starts with a lower token. A start that was
  // accepted around a restart went to the previous incarnation.
  const bool unsettled = !this->start_answered || this->overtaken_by_restart;
  if (!unsettled || this->foreign || this->fence >= list_fence) return {};
  return this->overtaken_by_restart ? RunOutcome::kLost
                                    : RunOutcome::kUnconfirmed;
}

std::optional<EndpointRun::Settlement> EndpointRun::SettlementIfAbsent(
    std::uint64_t list_fence, std::int64_t list_clock_ms,
    base::Duration stop_time) const {
  const auto outcome = this->OutcomeIfAbsent(list_fence);
  if (outcome) return Settlement{*outcome, SettlementEvidence::kAbsentFromList};
  if (!this->HasStoppedBy(list_clock_ms, stop_time)) return {};
  return Settlement{RunOutcome::kStopped, SettlementEvidence::kStopTimePassed};
}

bool EndpointRun::HasStoppedBy(std::int64_t list_clock_ms,
                               base::Duration stop_time) const {
  const std::int64_t stop_ms = stop_time / milliseconds(1);
  return this->state == State::kStopping && this->stop_clock_ms != 0 &&
         list_clock_ms > this->stop_clock_ms + stop_ms;
}

std::optional<base::TimePoint> EndpointRun::LeaseLimit() const {
  if (this->state == State::kHeld || this->stop_clock_ms != 0) return {};
  std::optional<base::TimePoint> limit = this->end_by;
  const auto latest = this->handlers.latest_end
                          ? this->handlers.latest_end()
                          : std::optional<base::TimePoint>();
  if (latest) limit = limit ? std::min(*limit, *latest) : *latest;
  return limit;
}

bool EndpointRun::IsStopLost() const {
  return this->stop_clock_ms == 0 && this->stop_orders > kMaxLostStops;
}

base::TimePoint EndpointRun::ExpectedEnd(base::TimePoint now, double pace,
                                         base::Duration stop_time) const {
  if (this->state == State::kStopping) return now + stop_time;
  const base::Duration expected =
      this->projected ? *this->projected : Scale(this->order.estimate, pace);
  const double late_factor =
      this->projected ? kLateProjectedFactor : kLateDeclaredFactor;
  return this->started +
         std::max(expected, Scale(now - this->started, late_factor));
}

bool EndpointRun::OnRestart() {
  if (this->incarnation_start_ms != 0) return true;
  this->overtaken_by_restart = true;
  this->stop_clock_ms = 0;
  return false;
}

std::optional<base::TimePoint> NextEnd(
    const std::map<std::pair<std::string, std::uint64_t>, EndpointRun>& runs,
    base::TimePoint now, double pace, base::Duration stop_time) {
  std::optional<base::TimePoint> next;
  for (const auto& [key, run] : runs) {
    if (run.foreign) return {};
    const base::TimePoint end = run.ExpectedEnd(now, pace, stop_time);
    if (!next || end < *next) next = end;
  }
  return next;
}

}  // namespace hawthornwheel::runs
