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

/// Holds one attempt that may occupy a slot.
struct Attempt {
  AttemptNumber number = 0;
  /// Job of the attempt, or 0 when its outcome no longer affects the job.
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

/// Tracks the queued tasks and the throughput of one urgency class of a
/// service.
struct ClassLoad {
  std::uint32_t queued_tasks = 0;
  ThroughputMeter throughput;
};

/// Tracks the load of one service in this process.
struct ServiceLoad {
  /// Sum over `classes`.
  std::uint32_t queued_tasks = 0;
  std::array<ClassLoad, fleet::kUrgencyCount> classes;
  std::uint32_t running_tasks = 0;
  RunTimeEstimator run_time;
  /// Estimated share of attempts that failed at endpoints, 0 to 1.
  double failure_share = 0;
  RetryBudget retry_budget;
  /// Maximum number of tasks in flight in this process; 0 means no limit.
  std::uint32_t max_running_tasks = 0;
  /// Endpoints that this process may use for the service.
  std::vector<EndpointState*> pool;
  /// Number of endpoints that the configuration gives the service, in all
  /// failure domains.
  std::uint32_t configured_endpoints = 0;
};

/// Blackboard of the jobs, attempts and endpoints of this process. Each
/// part is written by the controllers named with it; all others only read it.
struct DispatchBoard {
  /// Written by JobLifecycle.
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs;
  FairQueue queue;
  /// Written by AttemptController.
  std::unordered_map<AttemptNumber, Attempt> attempts;
  /// Endpoint states by address. Written by EndpointController, except
  /// `running` by AttemptController, health by HealthController, and loans by
  /// SlotLender and SlotBorrower. Pointers to the states stay valid.
  std::map<std::string, std::unique_ptr<EndpointState>> endpoints;
  /// Loads by name of the service. EndpointController writes the pools,
  /// JobLifecycle and AttemptController the counts.
  std::map<std::string, ServiceLoad> services;
  /// Written by DrainController.
  bool draining = false;
};

/// Adds `tasks` to the queued tasks of a class.
void CountQueued(ServiceLoad& load, fleet::Urgency urgency, std::uint32_t tasks,
                 base::TimePoint now);

/// Removes `tasks` from the queued tasks of a class without a start.
void CountUnqueued(ServiceLoad& load, fleet::Urgency urgency,
                   std::uint32_t tasks);

/// Removes one queued task of a class that has started.
void CountStarted(ServiceLoad& load, fleet::Urgency urgency,
                  base::TimePoint now);

/// Returns how many slots of an endpoint this process may use at `now`.
std::uint32_t UsableSlots(const EndpointState& endpoint, base::TimePoint now);

/// Returns how many slots of an endpoint are free for new attempts at `now`.
std::uint32_t FreeSlots(const EndpointState& endpoint, base::TimePoint now);

}  // namespace hawthornwheel::dispatch
