#include "jobs/endpoint_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <optional>
#include <utility>

#include "jobs/answer_value.h"

namespace hawthornwheel::jobs {
namespace {

// Cost of messages to a process of the same domain and of another domain, on
// the scale of the probability of meeting the objective: the cost per task, and
// the upper limit for all tasks of a job. A task that misses the objective
// makes its whole job miss it, so the messages of one task weigh less in a job
// of many tasks.
constexpr double kSameDomainCost = 0.05;
constexpr double kOtherDomainCost = 0.09;
constexpr double kSameDomainCostPerJob = 0.2;
constexpr double kOtherDomainCostPerJob = 0.24;
// Cost of an endpoint of pace 1 when endpoints of its kind are scarce; one that
// is twice as fast costs twice as much, since longer tasks may need it.
constexpr double kFastEndpointCost = 0.08;
// Share of this cost that remains when plenty of its kind are free, so that
// everything else equal, short tasks still leave fast endpoints free.
constexpr double kFreeEndpointCostShare = 0.1;
// Weight of the CPU that a task leaves on an endpoint, where it may be
// unusable, in multiples of the CPU that the task needs, at most 2.
constexpr double kLeftoverCpuWeight = 0.02;
// Pace that is assumed to be available when no endpoint is known.
constexpr double kAssumedBestPace = 0.6;
// Minimum probability of meeting the deadline for a task to be started.
constexpr double kMinDeadlineProbability = 0.1;
// Minimum probability of meeting the deadline at an endpoint, as a share of the
// probability at the fastest one, when endpoints of its kind are scarce and
// when plenty are free. Below it, the task waits for a faster one. It is not
// lower when plenty are free, since a task that has started at a slow endpoint
// no longer gets the next fast one.
constexpr double kMinShareOfBestProbability = 0.3;
constexpr double kMinShareWhenFree = 0.2;

// Time until there is enough room at an endpoint where no end of a run is
// known. Such endpoints are reserved after all others.
constexpr base::Duration kUnknownTimeToRoom = std::chrono::hours(1);

double DistanceCost(Distance distance, int job_task_count) {
  const double tasks = std::max(job_task_count, 1);
  switch (distance) {
    case Distance::kLocal:
      return 0;
    case Distance::kSameDomain:
      return std::min(kSameDomainCost, kSameDomainCostPerJob / tasks);
    case Distance::kOtherDomain:
      return std::min(kOtherDomainCost, kOtherDomainCostPerJob / tasks);
  }
  return 0;
}

// Returns the lowest pace among the endpoints where the task may run.
double BestPace(const std::vector<Candidate>& candidates,
                const TaskRequirements& requirements) {
  std::optional<double> best;
  for (const Candidate& candidate : candidates) {
    if (!IsAllowed(candidate, requirements)) continue;
    const double pace = PaceFor(candidate, requirements);
    if (!best || pace < *best) best = pace;
  }
  return best.value_or(kAssumedBestPace);
}

// Returns the probability of meeting the deadline at the fastest endpoint where
// the task may run.
double BestProbability(const std::vector<Candidate>& candidates,
                       const TaskRequirements& requirements) {
  return DeadlineProbability(BestPace(candidates, requirements), requirements);
}

// Returns the lowest probability of meeting the deadline at which a task is
// started at an endpoint whose capacity has the value `capacity_value`.
double MinProbability(double best_probability, double capacity_value) {
  const double share =
      std::lerp(kMinShareWhenFree, kMinShareOfBestProbability, capacity_value);
  return std::max(kMinDeadlineProbability, share * best_probability);
}

double FastEndpointCost(const Candidate& candidate) {
  return kFastEndpointCost / candidate.pace *
         std::lerp(kFreeEndpointCostShare, 1.0, candidate.capacity_value);
}

double Score(const Candidate& candidate, const TaskRequirements& requirements,
             double pace) {
  const double expected_value = ExpectedValue(pace, requirements);
  const double leftover_ratio =
      static_cast<double>(candidate.free.cpu_milli -
                          requirements.resources.cpu_milli) /
      std::max<double>(static_cast<double>(requirements.resources.cpu_milli),
                       1);
  return expected_value - FastEndpointCost(candidate) -
         DistanceCost(candidate.distance, requirements.job_task_count) -
         candidate.jitter_cost -
         kLeftoverCpuWeight * std::min(leftover_ratio, 2.0);
}

// Returns the best endpoint with free capacity where the probability of meeting
// the deadline is at least that of MinProbability(), or null.
Candidate* ChooseAbove(std::vector<Candidate>& candidates,
                       const TaskRequirements& requirements,
                       double best_probability) {
  Candidate* best = nullptr;
  double best_score = 0;
  for (Candidate& candidate : candidates) {
    if (!HasRoom(candidate, requirements)) continue;
    if (!IsAllowed(candidate, requirements)) continue;
    const double pace = PaceFor(candidate, requirements);
    if (DeadlineProbability(pace, requirements) <
        MinProbability(best_probability, candidate.capacity_value)) {
      continue;
    }
    const double score = Score(candidate, requirements, pace);
    if (best != nullptr && score <= best_score) continue;
    best = &candidate;
    best_score = score;
  }
  return best;
}

// Returns the expected time until a busy endpoint has enough free capacity for
// the task. The size of its runs is unknown: the more capacity is missing, the
// more often it takes more than the next end, about a run time later. Free
// capacity that was reserved in earlier passes therefore keeps the endpoint
// ahead of others.
base::Duration TimeToRoom(const Candidate& candidate,
                          const TaskRequirements& requirements,
                          base::TimePoint now) {
  // No run whose end is known: the endpoint may be idle and too small.
  if (!candidate.next_free) return kUnknownTimeToRoom;
  const base::Duration next_end =
      std::max(*candidate.next_free - now, base::Duration{0});
  const auto needed = static_cast<double>(
      std::max<std::int64_t>(requirements.resources.cpu_milli, 1));
  const double missing_share = std::clamp(
      1 - static_cast<double>(candidate.free.cpu_milli) / needed, 0.0, 1.0);
  return next_end + base::Duration(static_cast<base::Duration::rep>(
                        missing_share *
                        static_cast<double>(requirements.estimate.count())));
}

}  // namespace

bool HasLabel(const Candidate& candidate, const std::string& label) {
  return candidate.labels != nullptr &&
         std::find(candidate.labels->begin(), candidate.labels->end(), label) !=
             candidate.labels->end();
}

bool IsAllowed(const Candidate& candidate,
               const TaskRequirements& requirements) {
  if (candidate.service != requirements.service) return false;
  if (!requirements.label.empty() && !HasLabel(candidate, requirements.label))
    return false;
  return requirements.avoid == nullptr || requirements.avoid->empty() ||
         !requirements.avoid->contains(std::string(candidate.endpoint));
}

bool HasRoom(const Candidate& candidate, const TaskRequirements& requirements) {
  return candidate.free.cpu_milli > 0 &&
         requirements.resources.FitsInto(candidate.free);
}

double PaceFor(const Candidate& candidate,
               const TaskRequirements& requirements) {
  const bool far = !requirements.near_label.empty() &&
                   !HasLabel(candidate, requirements.near_label);
  return far ? candidate.pace * requirements.far_factor : candidate.pace;
}

Candidate* ChooseEndpoint(std::vector<Candidate>& candidates,
                          const TaskRequirements& requirements) {
  return ChooseAbove(candidates, requirements,
                     BestProbability(candidates, requirements));
}

Candidate* ChooseFreeEndpoint(std::vector<Candidate>& candidates,
                              const TaskRequirements& requirements) {
  return ChooseAbove(candidates, requirements, 0);
}

bool MayEndInTime(double pace, const TaskRequirements& requirements) {
  return DeadlineProbability(pace, requirements) >= kMinDeadlineProbability;
}

void Claim(Candidate& candidate) {
  candidate.free = {};
  candidate.claimed = true;
}

void Reserve(std::vector<Candidate>& candidates,
             const TaskRequirements& requirements, base::TimePoint now,
             int tasks) {
  const double min_probability =
      MinProbability(BestProbability(candidates, requirements), 1);
  std::vector<std::pair<base::Duration, Candidate*>> in_time;
  for (Candidate& candidate : candidates) {
    if (candidate.claimed || !IsAllowed(candidate, requirements)) continue;
    const double pace = PaceFor(candidate, requirements);
    if (DeadlineProbability(pace, requirements) < min_probability) continue;
    in_time.emplace_back(TimeToRoom(candidate, requirements, now), &candidate);
  }
  const auto count = std::min(static_cast<std::ptrdiff_t>(tasks),
                              static_cast<std::ptrdiff_t>(in_time.size()));
  std::partial_sort(
      in_time.begin(), in_time.begin() + count, in_time.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  for (auto item = in_time.begin(); item != in_time.begin() + count; ++item)
    Claim(*item->second);
}

FreeRoom CountFreeRoom(const std::vector<Candidate>& candidates,
                       const TaskRequirements& requirements) {
  const double best_probability = BestProbability(candidates, requirements);
  FreeRoom room;
  for (const Candidate& candidate : candidates) {
    if (!HasRoom(candidate, requirements)) continue;
    if (!IsAllowed(candidate, requirements)) continue;
    const std::int64_t tasks =
        requirements.resources.cpu_milli > 0
            ? candidate.free.cpu_milli / requirements.resources.cpu_milli
            : 1;
    room.tasks += tasks;
    const double pace = PaceFor(candidate, requirements);
    if (DeadlineProbability(pace, requirements) >=
        MinProbability(best_probability, candidate.capacity_value)) {
      room.tasks_in_time += tasks;
    }
  }
  return room;
}

bool CanMeetDeadline(const std::vector<Candidate>& candidates,
                     const TaskRequirements& requirements) {
  return MayEndInTime(BestPace(candidates, requirements), requirements);
}

}  // namespace hawthornwheel::jobs
