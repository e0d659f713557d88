#include "jobs/overdue_policy.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <utility>

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

// Time to stop a run and to start the task at another endpoint.
constexpr base::Duration kMoveTime = milliseconds(70);
// A task that is projected to take more than this many times its nominal run
// time is stuck. The projection is then not used as its run time.
constexpr int kStuckRunTimeFactor = 8;
// Lowest chance of a run to end in time at which it continues, when nothing of
// its kind is free and when plenty is.
constexpr double kMinChanceWhenScarce = 0.1;
constexpr double kMinChanceWhenFree = 0.01;

base::Duration Scale(base::Duration span, double factor) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(span.count()) * factor));
}

}  // namespace

OverduePolicy::OverduePolicy(std::vector<Candidate> candidates)
    : candidates(std::move(candidates)) {}

OverdueDecision OverduePolicy::Decide(const OverdueRun& run,
                                      TaskRequirements requirements) {
  OverdueDecision decision;
  decision.value = this->ValueOf(run.endpoint);
  decision.min_chance =
      std::lerp(kMinChanceWhenFree, kMinChanceWhenScarce, decision.value);
  const base::Duration nominal_run_time = Scale(run.expected, 1 / run.pace);
  if (nominal_run_time <= kStuckRunTimeFactor * requirements.estimate) {
    decision.nominal_run_time = nominal_run_time;
    requirements.estimate = nominal_run_time;
    requirements.estimate_log_std_dev = kMeasuredLogStdDev;
  }
  requirements.deadline -= kMoveTime;
  std::set<std::string> avoid;
  if (requirements.avoid != nullptr) avoid = *requirements.avoid;
  avoid.insert(run.endpoint);
  requirements.avoid = &avoid;
  decision.action =
      this->ActionFor(requirements, run.chance >= decision.min_chance);
  return decision;
}

bool OverduePolicy::IsSpared(const OverdueRun& run,
                             const OverdueDecision& decision) {
  return decision.action == OverdueAction::kContinue &&
         run.chance < kMinChanceWhenScarce;
}

// The value is 1 at an endpoint that takes no tasks at present.
double OverduePolicy::ValueOf(const std::string& endpoint) const {
  const auto found =
      std::find_if(this->candidates.begin(), this->candidates.end(),
                   [&endpoint](const Candidate& candidate) {
                     return candidate.endpoint == endpoint;
                   });
  return found == this->candidates.end() ? 1 : found->capacity_value;
}

// `requirements` are those of a new run of the task at another endpoint;
// `may_end_here` tells whether the run may still end in time.
OverdueAction OverduePolicy::ActionFor(const TaskRequirements& requirements,
                                       bool may_end_here) {
  const Candidate* better = ChooseEndpoint(this->candidates, requirements);
  if (better != nullptr &&
      Scale(requirements.estimate, PaceFor(*better, requirements)) <
          requirements.deadline) {
    return OverdueAction::kMove;
  }
  if (may_end_here) return OverdueAction::kContinue;
  return CanMeetDeadline(this->candidates, requirements)
             ? OverdueAction::kWaitForEndpoint
             : OverdueAction::kEndJob;
}

}  // namespace hawthornwheel::jobs
