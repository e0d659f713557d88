#include "dispatch/routing_controller.h"

#include <algorithm>
#include <utility>

#include "base/metrics.h"
#include "dispatch/attempt_controller.h"
#include "dispatch/deadline_check.h"

namespace hawthornwheel::dispatch {
namespace {

constexpr double kMinCostMicroseconds = 1000;

}  // namespace

RoutingController::RoutingController(base::Clock& clock, DispatchBoard& board,
                                     AttemptController& attempts,
                                     EndpointSelector& selector,
                                     base::Metrics& metrics)
    : clock(clock),
      board(board),
      attempts(attempts),
      selector(selector),
      metrics(metrics) {}

void RoutingController::SetExpiryListener(ExpiryListener listener) {
  this->expiry_listener = std::move(listener);
}

void RoutingController::SetRunEndListener(std::function<void()> listener) {
  this->run_end_listener = std::move(listener);
}

void RoutingController::Run() {
  if (this->running) {
    this->run_again = true;
    return;
  }
  this->running = true;
  do {
    this->run_again = false;
    this->deferred.clear();
    while (this->StartOne()) {
    }
  } while (this->run_again);
  this->running = false;
  if (this->run_end_listener) this->run_end_listener();
}

bool RoutingController::StartOne() {
  const JobId id = this->board.queue.Next(
      [this](const std::string& service) { return this->IsEligible(service); },
      [this](JobId job) { return this->HasQueuedTasks(job); });
  if (id == 0) return false;
  Job& job = *this->board.jobs.at(id);
  // The clock is read again for each task, because the process may have been
  // paused and the deadline and the leases must be checked at the current time.
  const base::TimePoint now = this->clock.Now();
  if (this->EndpointsInTime(job, job.tasks[job.queued.back()], now).empty()) {
    this->metrics.Count("routing.deadline_out_of_reach");
    this->expiry_listener(id);
    return true;
  }
  const Choice choice = this->Choose(job, now);
  if (choice.endpoint == nullptr) {
    this->deferred.insert(job.service->name);
    return true;
  }
  const std::uint32_t index = job.queued[choice.position];
  job.queued.erase(job.queued.begin() +
                   static_cast<std::ptrdiff_t>(choice.position));
  CountStarted(this->board.services[job.service->name], job.urgency, now);
  this->board.queue.Charge(
      {job.service->organisation, job.service->name, job.urgency},
      this->CostOf(job, job.tasks[index]));
  this->attempts.StartAttempt(job, index, *choice.endpoint);
  return true;
}

RoutingController::Choice RoutingController::Choose(const Job& job,
                                                    base::TimePoint now) {
  // The longest task is tried first. When it ends earlier by waiting for a
  // faster endpoint, the shortest task may still start at a slow one.
  const std::size_t longest = job.queued.size() - 1;
  EndpointState* endpoint =
      this->SelectFor(job, job.tasks[job.queued[longest]], now);
  if (endpoint != nullptr || longest == 0) return {longest, endpoint};
  return {0, this->SelectFor(job, job.tasks[job.queued[0]], now)};
}

EndpointState* RoutingController::SelectFor(const Job& job, const Task& task,
                                            base::TimePoint now) {
  const ServiceLoad& load = this->board.services[job.service->name];
  const std::vector<EndpointState*> in_time =
      this->EndpointsInTime(job, task, now);
  return this->selector.Select({in_time, now,
                                load.run_time.Expect(task.declared_run_time),
                                load.run_time.Mean(), load.queued_tasks});
}

bool RoutingController::IsEligible(const std::string& service) const {
  const ServiceLoad& load = this->board.services.at(service);
  if (load.queued_tasks == 0 || this->deferred.contains(service)) return false;
  const bool at_limit = load.max_running_tasks > 0 &&
                        load.running_tasks >= load.max_running_tasks;
  if (at_limit) return false;
  const base::TimePoint now = this->clock.Now();
  return std::any_of(load.pool.begin(), load.pool.end(),
                     [now](const EndpointState* endpoint) {
                       return FreeSlots(*endpoint, now) > 0;
                     });
}

bool RoutingController::HasQueuedTasks(JobId id) const {
  const auto found = this->board.jobs.find(id);
  if (found == this->board.jobs.end()) return false;
  return !found->second->ended && !found->second->queued.empty();
}

std::vector<EndpointState*> RoutingController::EndpointsInTime(
    const Job& job, const Task& task, base::TimePoint now) const {
  const ServiceLoad& load = this->board.services.at(job.service->name);
  std::vector<EndpointState*> in_time;
  for (EndpointState* endpoint : load.pool) {
    const bool available =
        !endpoint->leaving && endpoint->health != EndpointHealth::kQuarantined;
    if (available && CanEndInTime(load, task.declared_run_time, *endpoint,
                                  job.deadline - now)) {
      in_time.push_back(endpoint);
    }
  }
  return in_time;
}

double RoutingController::CostOf(const Job& job, const Task& task) const {
  const ServiceLoad& load = this->board.services.at(job.service->name);
  return std::max(kMinCostMicroseconds,
                  static_cast<double>(
                      load.run_time.Expect(task.declared_run_time).count()));
}

}  // namespace hawthornwheel::dispatch
