#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/resources.h"
#include "jobs/candidate.h"
#include "jobs/endpoint_kinds.h"
#include "jobs/task_sizes.h"

namespace hawthornwheel::jobs {

/// Tells what a free place costs other tasks: one figure for each service and
/// kind of endpoint, from 0 (plenty is free) to 1 (nothing is free, or tasks
/// wait for the little that is). Where the endpoints of a service have no
/// kinds, or kinds of the same pace, the value is 1. Refers to the candidates,
/// so it is valid as long as they are.
class CapacityValue {
 public:
  /// Describes the endpoints of one kind.
  struct Kind {
    std::string service;
    std::string kind;
    /// Number of endpoints that were counted.
    int endpoints = 0;
    /// Free capacity in tasks for each of them.
    double free_share = 0;
    double value = 1;
  };

  /// `tasks_wait` tells whether tasks of any process wait for free capacity.
  CapacityValue(const std::vector<Candidate>& candidates,
                const TaskSizes& task_sizes, bool tasks_wait);
  CapacityValue(const CapacityValue&) = delete;
  CapacityValue& operator=(const CapacityValue&) = delete;

  /// Returns the value of the kind of `candidate`.
  double Of(const Candidate& candidate) const;

  /// Sets the value in each of `candidates`, which must be those that it was
  /// computed from.
  void SetIn(std::vector<Candidate>& candidates) const;

  /// Returns all kinds, for reports.
  std::vector<Kind> Kinds() const;

 private:
  struct Group {
    /// Sum of the logarithms of the paces of all its endpoints.
    double log_pace_sum = 0;
    int endpoints = 0;
    /// Endpoints whose free capacity is counted, and their free capacity.
    int counted_endpoints = 0;
    double free_tasks = 0;
    double value = 1;
  };

  /// Groups of one service by kind.
  using Groups = std::map<std::string_view, Group>;

  /// Holds what Count() needs about the service of a candidate. Consecutive
  /// candidates mostly have the same service.
  struct Service {
    std::string_view name;
    Groups* groups = nullptr;
    catalog::Resources task_size;
    /// Whether it has endpoints in the domain of this process.
    bool in_own_domain = false;
  };

  void Count(const std::vector<Candidate>& candidates,
             const TaskSizes& task_sizes);

  static bool PacesDiffer(const Groups& groups);

  EndpointKinds kinds;
  std::map<std::string_view, Groups> services;
  /// Group of each candidate.
  std::vector<const Group*> group_of;
};

}  // namespace hawthornwheel::jobs
