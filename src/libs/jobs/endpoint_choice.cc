#include "jobs/endpoint_choice.h"

#include <algorithm>
#include <cmath>

namespace hawthornwheel::jobs {
namespace {

// Messages to a process of the same domain, and of another one, against the
// chance of meeting the objective. A task that misses costs its whole job, so
// the messages of one task weigh less in a wide job.
constexpr double kSameDomainCost = 0.05;
constexpr double kOtherDomainCost = 0.09;
constexpr double kSameDomainCostOfAJob = 0.2;
constexpr double kOtherDomainCostOfAJob = 0.24;
// Spread of the logarithm of the learned pace.
constexpr double kPaceSpread = 0.15;
// What an answer within the deadline but past the objective is worth.
constexpr double kLateShare = 0.2;
// What it costs the longer tasks when a short one takes an endpoint that is
// twice as fast.
constexpr double kSpeedCost = 0.08;
// Weight of the room that a task leaves unusable on an endpoint.
constexpr double kTightFitWeight = 0.02;
// Pace of the fastest endpoints of the users' fleets.
constexpr double kFastPace = 0.6;
// Below this chance of meeting the deadline a task is not started.
constexpr double kLeastChance = 0.1;

double DistanceCost(Distance distance, int width) {
  const double tasks = std::max(width, 1);
  switch (distance) {
    case Distance::kLocal:
      return 0;
    case Distance::kSameDomain:
      return std::min(kSameDomainCost, kSameDomainCostOfAJob / tasks);
    case Distance::kOtherDomain:
      return std::min(kOtherDomainCost, kOtherDomainCostOfAJob / tasks);
  }
  return 0;
}

bool HasLabel(const Candidate& candidate, const std::string& label) {
  return candidate.labels != nullptr &&
         std::find(candidate.labels->begin(), candidate.labels->end(), label) !=
             candidate.labels->end();
}

bool IsAllowed(const Candidate& candidate, const TaskRequirements& need) {
  if (candidate.service != need.service) return false;
  if (!need.resources.FitsInto(candidate.free)) return false;
  if (!need.label.empty() && !HasLabel(candidate, need.label)) return false;
  return need.avoid == nullptr || need.avoid->empty() ||
         !need.avoid->contains(std::string(candidate.endpoint));
}

// Chance that a value with the given spread of its logarithm stays below
// `ratio` times its estimate.
double ChanceBelow(double ratio, double spread) {
  if (ratio <= 0) return 0;
  return 0.5 * std::erfc(-std::log(ratio) / (spread * std::sqrt(2.0)));
}

double DeadlineChance(double pace, const TaskRequirements& need) {
  const double expected =
      std::max(static_cast<double>(need.estimate.count()) * pace, 1.0);
  return ChanceBelow(static_cast<double>(need.deadline.count()) / expected,
                     need.estimate_log_std_dev);
}

double Score(const Candidate& candidate, const TaskRequirements& need,
             double pace, double deadline_chance) {
  const double objective_chance =
      ChanceBelow(need.objective_pace / pace, kPaceSpread);
  const double worth =
      deadline_chance * (kLateShare + (1 - kLateShare) * objective_chance);
  const double left =
      static_cast<double>(candidate.free.cpu_milli - need.resources.cpu_milli) /
      std::max<double>(static_cast<double>(need.resources.cpu_milli), 1);
  return worth - kSpeedCost / candidate.pace -
         DistanceCost(candidate.distance, need.width) - candidate.jitter_cost -
         kTightFitWeight * std::min(left, 2.0);
}

}  // namespace

double PaceFor(const Candidate& candidate, const TaskRequirements& need) {
  const bool far =
      !need.near_label.empty() && !HasLabel(candidate, need.near_label);
  return far ? candidate.pace * need.far_factor : candidate.pace;
}

Candidate* ChooseEndpoint(std::vector<Candidate>& candidates,
                          const TaskRequirements& need) {
  Candidate* best = nullptr;
  double best_score = 0;
  for (Candidate& candidate : candidates) {
    if (!IsAllowed(candidate, need)) continue;
    const double pace = PaceFor(candidate, need);
    const double chance = DeadlineChance(pace, need);
    if (chance < kLeastChance) continue;
    const double score = Score(candidate, need, pace, chance);
    if (best != nullptr && score <= best_score) continue;
    best = &candidate;
    best_score = score;
  }
  return best;
}

bool CanMeetDeadline(const TaskRequirements& need) {
  return DeadlineChance(kFastPace, need) >= kLeastChance;
}

}  // namespace hawthornwheel::jobs
