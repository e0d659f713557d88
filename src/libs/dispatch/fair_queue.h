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

/// Queues jobs that have tasks to start, by hierarchical weighted fair
/// queueing: shares are divided by weight among organisations, among the
/// services of an organisation, and among the urgency classes of a service.
/// Jobs of one class are served in FIFO order.
///
/// Each organisation, service and class has a virtual time, which grows by the
/// cost served divided by the weight. The one with the lowest virtual time is
/// served next.
class FairQueue {
 public:
  /// Identifies a class in the hierarchy.
  struct Path {
    std::string organisation;
    std::string service;
    fleet::Urgency urgency = fleet::Urgency::kNormal;
  };

  /// Sets the weights of a service and its organisation.
  void SetWeights(const Path& path, double organisation_weight,
                  double service_weight);

  /// Adds a job at the end of its class.
  void PushBack(const Path& path, JobId job);
  /// Adds a job at the front of its class, so that it is served again first.
  void PushFront(const Path& path, JobId job);

  /// Returns the job to serve next, or 0 when there is none. The job stays in
  /// the queue as long as it has tasks to start. `is_eligible` returns whether
  /// a service can start a task now. `has_queued_tasks` returns whether a job
  /// still has tasks to start; a job without any is dropped when it reaches the
  /// front of its class.
  JobId Next(const std::function<bool(const std::string&)>& is_eligible,
             const std::function<bool(JobId)>& has_queued_tasks);

  /// Charges the cost of a started task, in microseconds, to its path.
  void Charge(const Path& path, double cost);

  /// Returns the number of queued jobs. Includes ended jobs that Next() has not
  /// dropped yet.
  std::size_t Size() const;

 private:
  struct UrgencyClass {
    double virtual_time = 0;
    std::deque<JobId> jobs;
  };
  struct Service {
    double weight = 1;
    double virtual_time = 0;
    /// Highest virtual time at which a class was served.
    double class_time = 0;
    std::array<UrgencyClass, fleet::kUrgencyCount> classes;
    bool IsEmpty() const;
  };
  struct Organisation {
    double weight = 1;
    double virtual_time = 0;
    /// Highest virtual time at which a service was served.
    double service_time = 0;
    std::map<std::string, Service> services;
    bool IsEmpty() const;
  };

  void Activate(const Path& path);
  static void DropEmptyJobs(Service& service,
                            const std::function<bool(JobId)>& has_queued_tasks);

  /// Highest virtual time at which an organisation was served.
  double organisation_time = 0;
  std::map<std::string, Organisation> organisations;
};

}  // namespace hawthornwheel::dispatch
