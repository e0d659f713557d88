#include "dispatch/fair_queue.h"

#include <algorithm>

namespace hawthornwheel::dispatch {
namespace {

// Shares of the urgency classes of one service. The most urgent class gets
// nearly all, and yet its flood leaves the others something.
constexpr std::array<double, fleet::kUrgencyCount> kUrgencyWeights = {16, 4, 1};

// A class, service or organisation that was blocked for long claims at most
// this much of the past.
constexpr double kMostLagMicroseconds = 1'000'000;

std::size_t IndexOf(fleet::Urgency urgency) {
  return static_cast<std::size_t>(urgency);
}

}  // namespace

bool FairQueue::Service::IsEmpty() const {
  return std::all_of(this->classes.begin(), this->classes.end(),
                     [](const Class& one) { return one.jobs.empty(); });
}

bool FairQueue::Organisation::IsEmpty() const {
  return std::all_of(this->services.begin(), this->services.end(),
                     [](const auto& one) { return one.second.IsEmpty(); });
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
  Class& one = service.classes[IndexOf(path.urgency)];
  if (organisation.IsEmpty()) {
    organisation.virtual_time =
        std::max(organisation.virtual_time, this->organisation_time);
  }
  if (service.IsEmpty()) {
    service.virtual_time =
        std::max(service.virtual_time, organisation.service_time);
  }
  if (one.jobs.empty()) {
    one.virtual_time = std::max(one.virtual_time, service.class_time);
  }
}

void FairQueue::DropDead(Service& service,
                         const std::function<bool(JobId)>& is_live) {
  for (Class& one : service.classes) {
    while (!one.jobs.empty() && !is_live(one.jobs.front())) {
      one.jobs.pop_front();
    }
  }
}

JobId FairQueue::Next(
    const std::function<bool(const std::string&)>& is_eligible,
    const std::function<bool(JobId)>& is_live) {
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
      DropDead(service, is_live);
      if (!service.IsEmpty()) candidate = &service;
    }
    if (candidate == nullptr) continue;
    best_organisation = &organisation;
    best_service = candidate;
  }
  if (best_service == nullptr) return 0;
  const Class* best_class = nullptr;
  for (const Class& one : best_service->classes) {
    if (one.jobs.empty()) continue;
    if (best_class == nullptr || one.virtual_time < best_class->virtual_time) {
      best_class = &one;
    }
  }
  return best_class->jobs.front();
}

void FairQueue::Charge(const Path& path, double cost) {
  Organisation& organisation = this->organisations[path.organisation];
  Service& service = organisation.services[path.service];
  const std::size_t index = IndexOf(path.urgency);
  Class& one = service.classes[index];
  this->organisation_time =
      std::max(this->organisation_time, organisation.virtual_time);
  organisation.service_time =
      std::max(organisation.service_time, service.virtual_time);
  service.class_time = std::max(service.class_time, one.virtual_time);
  organisation.virtual_time =
      std::max(organisation.virtual_time,
               this->organisation_time - kMostLagMicroseconds) +
      cost / organisation.weight;
  service.virtual_time =
      std::max(service.virtual_time,
               organisation.service_time - kMostLagMicroseconds) +
      cost / service.weight;
  one.virtual_time =
      std::max(one.virtual_time, service.class_time - kMostLagMicroseconds) +
      cost / kUrgencyWeights[index];
}

std::size_t FairQueue::Size() const {
  std::size_t size = 0;
  for (const auto& [organisation_name, organisation] : this->organisations) {
    for (const auto& [service_name, service] : organisation.services) {
      for (const Class& one : service.classes) size += one.jobs.size();
    }
  }
  return size;
}

}  // namespace hawthornwheel::dispatch
