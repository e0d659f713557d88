#include "jobs/endpoint_choice.h"

#include <algorithm>

namespace hawthornwheel::jobs {
namespace {

// What a better use of the objective is worth against a message to a process
// of the same domain, and of another one.
constexpr double kSameDomainCost = 0.12;
constexpr double kOtherDomainCost = 0.3;
// Declared run times are rough; an endpoint is taken to meet a limit when the
// expected time leaves this share of it.
constexpr double kLimitShare = 0.85;
// Weight of the room that a task leaves unusable on an endpoint.
constexpr double kTightFitWeight = 0.1;

double DistanceCost(Distance distance) {
  switch (distance) {
    case Distance::kLocal:
      return 0;
    case Distance::kSameDomain:
      return kSameDomainCost;
    case Distance::kOtherDomain:
      return kOtherDomainCost;
  }
  return 0;
}

bool IsAllowed(const Candidate& candidate, const TaskNeed& need) {
  if (candidate.service != need.service) return false;
  if (!need.resources.FitsInto(candidate.free)) return false;
  if (!need.label.empty() &&
      std::find(candidate.labels.begin(), candidate.labels.end(), need.label) ==
          candidate.labels.end()) {
    return false;
  }
  return need.avoid == nullptr || !need.avoid->contains(candidate.endpoint);
}

// Higher is better; those that meet the objective are above 0, others below.
double Score(const Candidate& candidate, const TaskNeed& need) {
  const double expected =
      static_cast<double>(need.estimate.count()) * candidate.pace;
  const double objective =
      std::max<double>(static_cast<double>(need.objective.count()), 1);
  const double use = expected / objective;
  const double cost = DistanceCost(candidate.distance);
  if (use > kLimitShare) return -use - cost;
  const double left =
      static_cast<double>(candidate.free.cpu_milli - need.resources.cpu_milli) /
      std::max<double>(static_cast<double>(need.resources.cpu_milli), 1);
  return 2 + use - cost - kTightFitWeight * std::min(left, 2.0);
}

}  // namespace

Candidate* ChooseEndpoint(std::vector<Candidate>& candidates,
                          const TaskNeed& need) {
  Candidate* best = nullptr;
  double best_score = 0;
  for (Candidate& candidate : candidates) {
    if (!IsAllowed(candidate, need)) continue;
    const double expected =
        static_cast<double>(need.estimate.count()) * candidate.pace;
    if (expected > static_cast<double>(need.deadline.count())) continue;
    const double score = Score(candidate, need);
    if (best != nullptr && score <= best_score) continue;
    best = &candidate;
    best_score = score;
  }
  return best;
}

}  // namespace hawthornwheel::jobs
