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
  /// Timer of the task timeout, or of the remaining lease after the endpoint
  /// has not confirmed a stop.
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
  /// Moving average of the share of failed attempts, 0 to 1.
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
  /// Jobs by ID. Written by JobLifecycle, except that RoutingController removes
  /// started tasks from `queued`, AttemptController marks tasks as running, and
  /// JobController writes the waiters and the next key prefix of the answer.
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs;
  /// JobLifecycle adds the jobs, RoutingController selects them and charges
  /// their cost, and EndpointController sets the weights.
  FairQueue queue;
  /// Written by AttemptController.
  std::unordered_map<AttemptNumber, Attempt> attempts;
  /// Endpoint states by address. Written by EndpointController, except
  /// `running` by AttemptController, health by HealthController, and loans by
  /// SlotLender and SlotBorrower, which also adds borrowed endpoints. A pointer
  /// to a state stays valid until EndpointController::DropUnused() removes the
  /// state.
  std::map<std::string, std::unique_ptr<EndpointState>> endpoints;
  /// Loads by name of the service. EndpointController writes the pools and the
  /// configured values, SlotBorrower adds borrowed endpoints to the pools,
  /// JobLifecycle, RoutingController and AttemptController write the counts and
  /// the retry budgets, and HealthController writes the learned values.
  std::map<std::string, ServiceLoad> services;
  /// Written by DrainController.
  bool draining = false;
};

/// Adds `tasks` to the number of queued tasks of a class and records the
/// arrival in its throughput.
void AddQueuedTasks(ServiceLoad& load, fleet::Urgency urgency,
                    std::uint32_t tasks, base::TimePoint now);

/// Subtracts `tasks` from the number of queued tasks of a class without
/// recording a start.
void RemoveQueuedTasks(ServiceLoad& load, fleet::Urgency urgency,
                       std::uint32_t tasks);

/// Subtracts one from the number of queued tasks of a class and records the
/// start in its throughput.
void CountStarted(ServiceLoad& load, fleet::Urgency urgency,
                  base::TimePoint now);

/// Returns how many slots of an endpoint this process may use at `now`.
std::uint32_t UsableSlots(const EndpointState& endpoint, base::TimePoint now);

/// Returns how many slots of an endpoint are free for new attempts at `now`.
std::uint32_t FreeSlots(const EndpointState& endpoint, base::TimePoint now);

}  // namespace hawthornwheel::dispatch
