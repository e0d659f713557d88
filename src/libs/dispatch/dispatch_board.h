#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/endpoint_state.h"
#include "dispatch/fair_queue.h"
#include "dispatch/job.h"
#include "dispatch/retry_budget.h"
#include "dispatch/run_time_estimator.h"
#include "dispatch/throughput_meter.h"

namespace hawthornwheel::dispatch {

/// One attempt that may occupy a slot.
struct Attempt {
  AttemptNumber number = 0;
  /// The job, or 0 once the attempt no longer matters to it.
  JobId job = 0;
  std::uint32_t task = 0;
  EndpointState* endpoint = nullptr;
  std::shared_ptr<const fleet::ServiceConfig> service;
  base::Duration declared_run_time{0};
  base::TimePoint started_at;
  base::TimePoint lease_until;
  base::TimerId timeout_timer = 0;
  bool stopping = false;
};

/// Queue of one urgency class of a service.
struct ClassLoad {
  std::uint32_t queued_tasks = 0;
  ThroughputMeter throughput;
};

/// What this process knows of one service's work.
struct ServiceLoad {
  /// Sum over `classes`.
  std::uint32_t queued_tasks = 0;
  std::array<ClassLoad, fleet::kUrgencyCount> classes;
  std::uint32_t running_tasks = 0;
  RunTimeEstimator run_time;
  /// Learned share of attempts that failed at endpoints.
  double failure_share = 0;
  RetryBudget retry_budget;
  /// Most tasks in flight in this process; 0 means no limit.
  std::uint32_t max_running_tasks = 0;
  /// Endpoints that this process may use for the service.
  std::vector<EndpointState*> pool;
  /// Endpoints of any failure domain that the configuration gives it.
  std::uint32_t configured_endpoints = 0;
};

/// Blackboard of the work in this process. Each part has one controller that
/// writes it; all others read.
struct DispatchBoard {
  /// Written by JobLifecycle.
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs;
  FairQueue queue;
  /// Written by AttemptController.
  std::unordered_map<AttemptNumber, Attempt> attempts;
  /// Written by EndpointController; `running` by AttemptController, health by
  /// HealthController, loans by SlotLender and
  /// SlotBorrower. States stay in place.
  std::map<std::string, std::unique_ptr<EndpointState>> endpoints;
  /// Pools by EndpointController, counts by JobLifecycle and
  /// AttemptController, by service.
  std::map<std::string, ServiceLoad> services;
  /// Written by DrainController.
  bool draining = false;
};

/// Counts `tasks` more that wait in a class.
void CountQueued(ServiceLoad& load, fleet::Urgency urgency, std::uint32_t tasks,
                 base::TimePoint now);

/// Counts `tasks` that left a class without a start.
void CountUnqueued(ServiceLoad& load, fleet::Urgency urgency,
                   std::uint32_t tasks);

/// Counts one start out of a class.
void CountStarted(ServiceLoad& load, fleet::Urgency urgency,
                  base::TimePoint now);

/// Slots of an endpoint that this process may fill at `now`.
std::uint32_t UsableSlots(const EndpointState& endpoint, base::TimePoint now);

/// Slots of an endpoint that are free for one more attempt at `now`.
std::uint32_t FreeSlots(const EndpointState& endpoint, base::TimePoint now);

}  // namespace hawthornwheel::dispatch
