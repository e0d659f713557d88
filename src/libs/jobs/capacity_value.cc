#include "jobs/capacity_value.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hawthornwheel::jobs {
namespace {

// Free capacity of a kind, in tasks for each of its endpoints, that is plenty.
// On a quiet day with room for 0.3 to 0.6 tasks for each endpoint, no task
// waited.
constexpr double kPlentifulShare = 0.25;
// Minimum standard deviation of the logarithm of the mean paces by kind. Kinds
// of speeds 1.0, 1.0 and 1.3 have 0.12. Racks of ten equal endpoints, whose
// learned paces have an error of 0.14, have 0.045.
constexpr double kMinPaceStdDev = 0.08;
// Minimum number of endpoints of a kind.
constexpr int kMinEndpointsOfKind = 2;
constexpr double kMinPace = 1e-3;

// Returns how many tasks of `size` the free capacity of `candidate` is worth.
// The fraction counts, since `size` is a mean: with whole tasks, all empty
// endpoints would lose a task when the mean rises by 1%.
double FreeTasks(const Candidate& candidate, const catalog::Resources& size) {
  if (candidate.free.cpu_milli <= 0 || !size.FitsInto(candidate.free)) return 0;
  if (size.cpu_milli <= 0) return 1;
  return static_cast<double>(candidate.free.cpu_milli) /
         static_cast<double>(size.cpu_milli);
}

double ValueOf(double free_tasks, int endpoints, bool tasks_wait) {
  // The free capacity varies by about the square root of the number of
  // endpoints, so a few endpoints need a larger share: one free place of two is
  // not plenty.
  const double plenty =
      std::max(kPlentifulShare * endpoints, std::sqrt(endpoints));
  // While tasks wait, a kind with less than plenty counts as scarce. One with
  // twice as much is not what they wait for.
  const double offset = tasks_wait ? 1 : 0;
  return std::clamp(1 + offset - free_tasks / plenty, 0.0, 1.0);
}

}  // namespace

CapacityValue::CapacityValue(const std::vector<Candidate>& candidates,
                             const TaskSizes& task_sizes, bool tasks_wait)
    : kinds(candidates) {
  this->Count(candidates, task_sizes);
  for (auto& [service, groups] : this->services) {
    if (!PacesDiffer(groups)) continue;
    for (auto& [kind, group] : groups) {
      if (kind.empty() || group.counted_endpoints == 0) continue;
      group.value =
          ValueOf(group.free_tasks, group.counted_endpoints, tasks_wait);
    }
  }
}

void CapacityValue::Count(const std::vector<Candidate>& candidates,
                          const TaskSizes& task_sizes) {
  // Of another domain, a process knows mainly endpoints with free capacity.
  // They are counted only for services without endpoints in the own domain.
  std::set<std::string_view> own_services;
  for (const Candidate& candidate : candidates) {
    if (candidate.distance != Distance::kOtherDomain)
      own_services.insert(candidate.service);
  }
  this->group_of.reserve(candidates.size());
  Service service;
  for (const Candidate& candidate : candidates) {
    if (service.groups == nullptr || service.name != candidate.service) {
      service = {candidate.service, &this->services[candidate.service],
                 task_sizes.MeanOf(candidate.service),
                 own_services.contains(candidate.service)};
    }
    Group& group = (*service.groups)[this->kinds.KindOf(candidate)];
    this->group_of.push_back(&group);
    ++group.endpoints;
    group.log_pace_sum += std::log(std::max(candidate.pace, kMinPace));
    if (candidate.distance == Distance::kOtherDomain && service.in_own_domain)
      continue;
    ++group.counted_endpoints;
    group.free_tasks += FreeTasks(candidate, service.task_size);
  }
}

// Returns whether the service has several kinds that differ in pace by more
// than the error of learned paces.
bool CapacityValue::PacesDiffer(const Groups& groups) {
  double endpoints = 0;
  double sum = 0;
  double sum_of_squares = 0;
  for (const auto& [kind, group] : groups) {
    if (kind.empty() || group.endpoints < kMinEndpointsOfKind) continue;
    const double mean = group.log_pace_sum / group.endpoints;
    endpoints += group.endpoints;
    sum += group.endpoints * mean;
    sum_of_squares += group.endpoints * mean * mean;
  }
  if (endpoints == 0) return false;
  const double mean = sum / endpoints;
  return sum_of_squares / endpoints - mean * mean >=
         kMinPaceStdDev * kMinPaceStdDev;
}

double CapacityValue::Of(const Candidate& candidate) const {
  const auto service = this->services.find(candidate.service);
  if (service == this->services.end()) return 1;
  const auto group = service->second.find(this->kinds.KindOf(candidate));
  return group == service->second.end() ? 1 : group->second.value;
}

void CapacityValue::SetIn(std::vector<Candidate>& candidates) const {
  for (std::size_t i = 0; i < this->group_of.size(); ++i)
    candidates[i].capacity_value = this->group_of[i]->value;
}

std::vector<CapacityValue::Kind> CapacityValue::Kinds() const {
  std::vector<Kind> result;
  for (const auto& [service, groups] : this->services) {
    for (const auto& [kind, group] : groups) {
      const int counted = group.counted_endpoints;
      result.push_back({std::string(service), std::string(kind), counted,
                        counted > 0 ? group.free_tasks / counted : 0,
                        group.value});
    }
  }
  return result;
}

}  // namespace hawthornwheel::jobs
