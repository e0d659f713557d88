#include "jobs/placement_wait.h"

#include <algorithm>
#include <chrono>

#include "base/logger.h"
#include "base/metrics.h"
#include "jobs/answer_value.h"

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("wait");

// Time from the end of a run until this process knows of the free place and its
// start order arrives: an answer to a poll, an update between processes and an
// order.
constexpr base::Duration kHandOverTime = milliseconds(15);
// Ratio between the expected time and a low or high estimate of it. Declared
// run times are off by a factor of 1.5 in one case of three.
constexpr double kWaitSpread = 1.5;
// Gain below which a task does not begin to wait, on the scale of the value of
// an answer: smaller ones are within the error of the learned paces, and the
// place may be lost to another process.
constexpr double kMinGain = 0.05;
// Two intervals of heartbeats. When no report has replaced one whose expected
// end lies further back, nothing is known about the place any more.
constexpr base::Duration kMaxReportDelay = milliseconds(400);
// Number of halvings in the search for the end of a wait: 1.5 s become 1 ms.
constexpr int kSearchSteps = 11;

base::Duration Scale(base::Duration span, double factor) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(span.count()) * factor));
}

TaskRequirements After(TaskRequirements requirements, base::Duration wait) {
  requirements.objective_pace -=
      static_cast<double>(wait.count()) /
      std::max(static_cast<double>(requirements.estimate.count()), 1.0);
  requirements.deadline -= wait;
  return requirements;
}

// Returns the time for which a task may wait until the value of its answer at
// an endpoint of pace `pace` has dropped by `gain`, or until that endpoint no
// longer counts as service.
base::Duration TimeToLoss(double pace, const TaskRequirements& requirements,
                          double gain) {
  const double lowest = ExpectedValue(pace, requirements) - gain;
  base::Duration low{0};
  base::Duration high = requirements.deadline;
  for (int step = 0; step < kSearchSteps; ++step) {
    const base::Duration middle = (low + high) / 2;
    const bool pays = ExpectedValue(pace, requirements, middle) >= lowest &&
                      MayEndInTime(pace, After(requirements, middle));
    (pays ? low : high) = middle;
  }
  return low;
}

// Returns whether the task runs faster near its data. Such tasks divide the
// places there, since the tasks of many jobs may want the same ones.
bool WantsNearPlace(const TaskRequirements& requirements) {
  return !requirements.near_label.empty() && requirements.far_factor > 1;
}

bool IsNear(const Candidate& candidate, const TaskRequirements& requirements) {
  return !WantsNearPlace(requirements) ||
         HasLabel(candidate, requirements.near_label);
}

// Returns the highest value that the task would have at a busy endpoint whose
// next end nobody reports, or 0 when the next end of a faster one is known.
double ValueOfUnknown(const std::vector<Candidate>& candidates,
                      const TaskRequirements& requirements, double best_pace) {
  double value = 0;
  for (const Candidate& candidate : candidates) {
    if (HasRoom(candidate, requirements) || !IsAllowed(candidate, requirements))
      continue;
    const double pace = PaceFor(candidate, requirements);
    if (pace >= best_pace) continue;
    if (candidate.next_free) return 0;
    if (!candidate.claimed)
      value = std::max(value, ExpectedValue(pace, requirements));
  }
  return value;
}

}  // namespace

void PlacementWait::BeginPass(base::TimePoint pass_time) {
  this->now = pass_time;
  this->next_end.reset();
}

// Returns the busy endpoint with the highest expected value of a wait for it,
// among those that are expected to be free by `limit`.
PlacementWait::Place PlacementWait::FindPlace(
    std::vector<Candidate>& candidates, const TaskRequirements& requirements,
    base::TimePoint limit, bool near_only) const {
  const bool divide = WantsNearPlace(requirements);
  Place best;
  for (Candidate& candidate : candidates) {
    if (!candidate.next_free) continue;
    if (HasRoom(candidate, requirements) || !IsAllowed(candidate, requirements))
      continue;
    if (divide && candidate.claimed) continue;
    if (near_only && !IsNear(candidate, requirements)) continue;
    const base::Duration left = *candidate.next_free - this->now;
    if (left < -kMaxReportDelay) continue;
    const base::Duration wait =
        std::max(left, base::Duration{0}) + kHandOverTime;
    if (this->now + wait > limit) continue;
    const double pace = PaceFor(candidate, requirements);
    const double value =
        (ExpectedValue(pace, requirements, Scale(wait, 1 / kWaitSpread)) +
         ExpectedValue(pace, requirements, Scale(wait, kWaitSpread))) /
        2;
    if (value > best.value) best = {&candidate, wait, value};
  }
  return best;
}

// Returns the time at which a wait for `place` ends that begins now: when the
// value at `best` has dropped by the gain, and for a task that wants a place
// near its data when that should be free even by a high estimate. A task for
// which `best` is only too slow loses little by waiting longer, and may get any
// of the faster endpoints.
base::TimePoint PlacementWait::EndOf(
    const Place& place, const Candidate& best,
    const TaskRequirements& requirements) const {
  const double pace = PaceFor(best, requirements);
  const double gain = place.value - ExpectedValue(pace, requirements);
  const base::Duration to_loss = TimeToLoss(pace, requirements, gain);
  if (!WantsNearPlace(requirements)) return this->now + to_loss;
  return this->now +
         std::min(Scale(place.wait, kWaitSpread) + kHandOverTime, to_loss);
}

PlacementWait::Decision PlacementWait::Decide(
    Candidate* best, std::vector<Candidate>& candidates,
    const TaskRequirements& requirements, base::TimePoint limit,
    TaskWait& wait) {
  const bool too_slow = best == nullptr;
  if (too_slow) best = ChooseFreeEndpoint(candidates, requirements);
  if (best == nullptr) return {};
  if (!too_slow && IsNear(*best, requirements)) return {best, false};
  if (wait.since && this->now >= wait.until) wait.over = true;
  if (wait.over) return {best, false};
  const double best_pace = PaceFor(*best, requirements);
  Place place = this->FindPlace(candidates, requirements, limit, !too_slow);
  if (too_slow && place.candidate == nullptr) {
    // Processes of an earlier version report no next end. The task waits as it
    // did there, but only while a free endpoint still counts as service.
    place.value = ValueOfUnknown(candidates, requirements, best_pace);
    place.wait = requirements.deadline;
  }
  const double gain = place.value - ExpectedValue(best_pace, requirements);
  if (gain <= (wait.since ? 0 : kMinGain)) {
    wait.over = wait.since.has_value();
    return {best, false};
  }
  const base::TimePoint until = std::min(
      limit, wait.since ? wait.until : this->EndOf(place, *best, requirements));
  if (until <= this->now) {
    wait.over = wait.since.has_value();
    return {best, false};
  }
  this->Begin(wait, until);
  if (place.candidate != nullptr && !place.candidate->claimed) {
    Claim(*place.candidate);
  } else {
    Reserve(candidates, requirements, this->now);
  }
  return {nullptr, true};
}

void PlacementWait::Begin(TaskWait& wait, base::TimePoint until) {
  if (!wait.since) {
    wait.since = this->now;
    this->metrics.Count("jobs.waits_for_better");
  }
  wait.until = until;
  if (!this->next_end || until < *this->next_end) this->next_end = until;
}

void PlacementWait::RecordPlacement(const std::string& job, std::size_t task,
                                    const Candidate& candidate,
                                    const TaskRequirements& requirements,
                                    TaskWait& wait) {
  if (!requirements.near_label.empty()) {
    this->metrics.Count(IsNear(candidate, requirements)
                            ? "jobs.near_placements"
                            : "jobs.away_placements");
  }
  if (wait.since) {
    const auto waited_ms = (this->now - *wait.since) / milliseconds(1);
    this->metrics.Observe("jobs.better_wait_ms",
                          static_cast<double>(waited_ms));
    if (wait.over) {
      this->metrics.Count("jobs.waits_in_vain");
      kLog.Info(
          "Wait ended without the better endpoint. job={} task={} endpoint={} "
          "waited_ms={} cause=\"{}\"",
          job, task, candidate.endpoint, waited_ms,
          this->now >= wait.until ? "time is up" : "wait no longer pays");
    }
  }
  wait = {};
}

}  // namespace hawthornwheel::jobs
