#include "jobs/overdue_policy.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "jobs/log_normal.h"

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

// Time to stop a run and to start the task at another endpoint.
constexpr base::Duration kMoveTime = milliseconds(70);
// A task that is projected to take more than this many times its nominal run
// time is stuck. The projection is then not used as its run time.
constexpr int kStuckRunTimeFactor = 8;
// Minimum probability of meeting the deadline for a run to continue.
constexpr double kMinChance = 0.1;

base::Duration Scale(base::Duration span, double factor) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(span.count()) * factor));
}

// Returns whether a run that needs `remaining` more time by its progress is
// likely to end within `left`.
bool CanEndInTime(base::Duration remaining, base::Duration left) {
  const double ratio = static_cast<double>(left.count()) /
                       std::max(static_cast<double>(remaining.count()), 1.0);
  return ProbabilityBelow(ratio, kMeasuredLogStdDev) >= kMinChance;
}

}  // namespace

OverduePolicy::OverduePolicy(std::vector<Candidate> candidates)
    : candidates(std::move(candidates)) {}

OverdueDecision OverduePolicy::Decide(const OverdueRun& run,
                                      TaskRequirements requirements) {
  const bool may_end_here =
      CanEndInTime(run.expected - run.age, requirements.deadline);
  OverdueDecision decision;
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
  decision.action = this->ActionFor(requirements, may_end_here);
  return decision;
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
