#include "dispatch/routing_controller.h"

#include <algorithm>
#include <utility>

#include "base/metrics.h"
#include "dispatch/attempt_controller.h"

namespace hawthornwheel::dispatch {
namespace {

// Learned run times vary, so only a deadline that leaves less than this part of
// the mean counts as out of reach.
constexpr double kLeastDeadlineShare = 0.5;
constexpr double kLeastCostMicroseconds = 1000;

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

void RoutingController::SetStarvedListener(std::function<void()> listener) {
  this->starved_listener = std::move(listener);
}

void RoutingController::Run() {
  if (this->running) {
    this->run_again = true;
    return;
  }
  this->running = true;
  do {
    this->run_again = false;
    while (this->StartOne()) {
    }
  } while (this->run_again);
  this->running = false;
  if (this->starved_listener) this->starved_listener();
}

bool RoutingController::StartOne() {
  const JobId id = this->board.queue.Next(
      [this](const std::string& service) { return this->IsEligible(service); },
      [this](JobId job) { return this->IsLive(job); });
  if (id == 0) return false;
  Job& job = *this->board.jobs.at(id);
  ServiceLoad& load = this->board.services[job.service->name];
  // The process may have been paused; only a clock read now tells whether the
  // deadline and the leases still hold.
  const base::TimePoint now = this->clock.Now();
  EndpointState* endpoint = this->selector.Select(load.pool, now);
  if (endpoint == nullptr) return false;
  const std::uint32_t index = job.queued.back();
  Task& task = job.tasks[index];
  if (!this->CanMakeDeadline(job, task, *endpoint, now)) {
    this->metrics.Count("routing.deadline_out_of_reach");
    this->expiry_listener(id);
    return true;
  }
  job.queued.pop_back();
  --load.queued_tasks;
  this->board.queue.Charge({job.service->team, job.service->name, job.urgency},
                           this->CostOf(job, task));
  this->attempts.StartAttempt(job, index, *endpoint);
  return true;
}

bool RoutingController::IsEligible(const std::string& service) const {
  const ServiceLoad& load = this->board.services.at(service);
  if (load.queued_tasks == 0) return false;
  const base::TimePoint now = this->clock.Now();
  return std::any_of(load.pool.begin(), load.pool.end(),
                     [now](const EndpointState* endpoint) {
                       return FreeSlots(*endpoint, now) > 0;
                     });
}

bool RoutingController::IsLive(JobId id) const {
  const auto found = this->board.jobs.find(id);
  if (found == this->board.jobs.end()) return false;
  return !found->second->ended && !found->second->queued.empty();
}

bool RoutingController::CanMakeDeadline(const Job& job, const Task& task,
                                        const EndpointState& endpoint,
                                        base::TimePoint now) const {
  static_cast<void>(task);
  const base::Duration left = job.deadline - now;
  if (left <= base::Duration{0}) return false;
  const auto mean = static_cast<double>(
      this->board.services.at(job.service->name).mean_run_time.count());
  return static_cast<double>(left.count()) >=
         kLeastDeadlineShare * mean * endpoint.slowness;
}

double RoutingController::CostOf(const Job& job, const Task& task) const {
  const ServiceLoad& load = this->board.services.at(job.service->name);
  const base::Duration expected = load.mean_run_time.count() > 0
                                      ? load.mean_run_time
                                      : task.declared_run_time;
  return std::max(kLeastCostMicroseconds,
                  static_cast<double>(expected.count()));
}

}  // namespace hawthornwheel::dispatch
