#include "dispatch/fair_queue.h"

#include <algorithm>

namespace hawthornwheel::dispatch {
namespace {

// Weights of the urgency classes of one service, most urgent first. The most
// urgent class gets the largest share, but cannot starve the others.
constexpr std::array<double, fleet::kUrgencyCount> kUrgencyWeights = {16, 4, 1};

// Maximum virtual time by which a class, service or organisation may lag behind
// the highest virtual time served at its level. It bounds how much a class,
// service or organisation can catch up after it was blocked for long.
constexpr double kMaxLagMicroseconds = 1'000'000;

std::size_t IndexOf(fleet::Urgency urgency) {
  return static_cast<std::size_t>(urgency);
}

}  // namespace

bool FairQueue::Service::IsEmpty() const {
  return std::all_of(this->classes.begin(), this->classes.end(),
                     [](const UrgencyClass& urgency_class) {
                       return urgency_class.jobs.empty();
                     });
}

bool FairQueue::Organisation::IsEmpty() const {
  return std::all_of(this->services.begin(), this->services.end(),
                     [](const auto& entry) { return entry.second.IsEmpty(); });
}

void FairQueue::SetWeights(const Path& path, double organisation_weight,
                           double service_weight) {
  Organisation& organisation = this->organisations[path.organisation];
  organisation.weight = organisation_weight;
  organisation.services[path.service].weight = service_weight;
}

void FairQueue::PushBack(const Path& path, JobId job) {
  this->Activate(path);
  this->organisations[path.organisation]
      .services[path.service]
      .classes[IndexOf(path.urgency)]
      .jobs.push_back(job);
}

void FairQueue::PushFront(const Path& path, JobId job) {
  this->Activate(path);
  this->organisations[path.organisation]
      .services[path.service]
      .classes[IndexOf(path.urgency)]
      .jobs.push_front(job);
}

void FairQueue::Activate(const Path& path) {
  Organisation& organisation = this->organisations[path.organisation];
  Service& service = organisation.services[path.service];
  UrgencyClass& urgency_class = service.classes[IndexOf(path.urgency)];
  if (organisation.IsEmpty()) {
    organisation.virtual_time =
        std::max(organisation.virtual_time, this->organisation_time);
  }
  if (service.IsEmpty()) {
    service.virtual_time =
        std::max(service.virtual_time, organisation.service_time);
  }
  if (urgency_class.jobs.empty()) {
    urgency_class.virtual_time =
        std::max(urgency_class.virtual_time, service.class_time);
  }
}

void FairQueue::DropEmptyJobs(
    Service& service, const std::function<bool(JobId)>& has_queued_tasks) {
  for (UrgencyClass& urgency_class : service.classes) {
    while (!urgency_class.jobs.empty() &&
           !has_queued_tasks(urgency_class.jobs.front())) {
      urgency_class.jobs.pop_front();
    }
  }
}

JobId FairQueue::Next(
    const std::function<bool(const std::string&)>& is_eligible,
    const std::function<bool(JobId)>& has_queued_tasks) {
  Organisation* best_organisation = nullptr;
  Service* best_service = nullptr;
  for (auto& [organisation_name, organisation] : this->organisations) {
    if (best_organisation != nullptr &&
        organisation.virtual_time >= best_organisation->virtual_time) {
      continue;
    }
    Service* candidate = nullptr;
    for (auto& [service_name, service] : organisation.services) {
      if (service.IsEmpty()) continue;
      if (candidate != nullptr &&
          service.virtual_time >= candidate->virtual_time) {
        continue;
      }
      if (!is_eligible(service_name)) continue;
      DropEmptyJobs(service, has_queued_tasks);
      if (!service.IsEmpty()) candidate = &service;
    }
    if (candidate == nullptr) continue;
    best_organisation = &organisation;
    best_service = candidate;
  }
  if (best_service == nullptr) return 0;
  const UrgencyClass* best_class = nullptr;
  for (const UrgencyClass& urgency_class : best_service->classes) {
    if (urgency_class.jobs.empty()) continue;
    if (best_class == nullptr ||
        urgency_class.virtual_time < best_class->virtual_time) {
      best_class = &urgency_class;
    }
  }
  return best_class->jobs.front();
}

void FairQueue::Charge(const Path& path, double cost) {
  Organisation& organisation = this->organisations[path.organisation];
  Service& service = organisation.services[path.service];
  const std::size_t index = IndexOf(path.urgency);
  UrgencyClass& urgency_class = service.classes[index];
  this->organisation_time =
      std::max(this->organisation_time, organisation.virtual_time);
  organisation.service_time =
      std::max(organisation.service_time, service.virtual_time);
  service.class_time = std::max(service.class_time, urgency_class.virtual_time);
  organisation.virtual_time =
      std::max(organisation.virtual_time,
               this->organisation_time - kMaxLagMicroseconds) +
      cost / organisation.weight;
  service.virtual_time =
      std::max(service.virtual_time,
               organisation.service_time - kMaxLagMicroseconds) +
      cost / service.weight;
  urgency_class.virtual_time =
      std::max(urgency_class.virtual_time,
               service.class_time - kMaxLagMicroseconds) +
      cost / kUrgencyWeights[index];
}

std::size_t FairQueue::Size() const {
  std::size_t size = 0;
  for (const auto& [organisation_name, organisation] : this->organisations) {
    for (const auto& [service_name, service] : organisation.services) {
      for (const UrgencyClass& urgency_class : service.classes)
        size += urgency_class.jobs.size();
    }
  }
  return size;
}

}  // namespace hawthornwheel::dispatch
