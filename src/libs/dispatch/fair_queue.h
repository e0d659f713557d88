#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "dispatch/key_registry.h"
#include "fleet/urgency.h"

namespace hawthornwheel::dispatch {

/// Queue of jobs with tasks to start, shared by weight among organisations,
/// within an organisation among services, and within a service among urgency
/// classes. Jobs of one class leave in the order in which they came.
///
/// Each node keeps a virtual time that grows by the cost served divided by the
/// weight; the child with the lowest virtual time is served next.
class FairQueue {
 public:
  /// Place in the tree.
  struct Path {
    std::string organisation;
    std::string service;
    fleet::Urgency urgency = fleet::Urgency::kNormal;
  };

  /// Sets the weights of a service and its organisation.
  void SetWeights(const Path& path, double organisation_weight,
                  double service_weight);

  /// Adds a job at the end of its class, or at the front to be served again.
  void PushBack(const Path& path, JobId job);
  void PushFront(const Path& path, JobId job);

  /// Finds the job to serve next. `is_eligible` tells whether a service can
  /// start a task now; `has_queued_tasks` whether a job still has tasks to
  /// start, and jobs that do not are dropped. Returns 0 when there is none.
  JobId Next(const std::function<bool(const std::string&)>& is_eligible,
             const std::function<bool(JobId)>& has_queued_tasks);

  /// Charges the cost of a started task, in microseconds, to its path.
  void Charge(const Path& path, double cost);

  /// Jobs in the queue, with those that have ended but were not met yet.
  std::size_t Size() const;

 private:
  struct UrgencyClass {
    double virtual_time = 0;
    std::deque<JobId> jobs;
  };
  struct Service {
    double weight = 1;
    double virtual_time = 0;
    /// Virtual time of the class served last.
    double class_time = 0;
    std::array<UrgencyClass, fleet::kUrgencyCount> classes;
    bool IsEmpty() const;
  };
  struct Organisation {
    double weight = 1;
    double virtual_time = 0;
    /// Virtual time of the service served last.
    double service_time = 0;
    std::map<std::string, Service> services;
    bool IsEmpty() const;
  };

  void Activate(const Path& path);
  static void DropEmptyJobs(Service& service,
                            const std::function<bool(JobId)>& has_queued_tasks);

  /// Virtual time of the organisation served last.
  double organisation_time = 0;
  std::map<std::string, Organisation> organisations;
};

}  // namespace hawthornwheel::dispatch
