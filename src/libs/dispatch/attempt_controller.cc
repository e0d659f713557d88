#include "dispatch/attempt_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "base/soft_assert.h"
#include "dispatch/health_controller.h"
#include "fleet/leaving_controller.h"

namespace hawthornwheel::dispatch {
namespace {

// Interval at which the leases are checked for expiry and renewal.
constexpr base::Duration kLeaseCheckInterval = std::chrono::milliseconds(250);
// A lease is renewed once 1 / kLeaseRenewalDivisor of it has passed.
constexpr int kLeaseRenewalDivisor = 3;

}  // namespace

AttemptController::AttemptController(base::Clock& clock, EndpointClient& client,
                                     fleet::LeavingController& leaving,
                                     HealthController& health,
                                     DispatchBoard& board,
                                     base::Metrics& metrics,
                                     std::string incarnation)
    : clock(clock),
      client(client),
      leaving(leaving),
      health(health),
      board(board),
      metrics(metrics),
      incarnation(std::move(incarnation)),
      renew_timer(clock) {}

void AttemptController::Start() {
  this->renew_timer.StartPeriodic(kLeaseCheckInterval,
                                  [this] { this->RenewLeases(); });
}

void AttemptController::SetOutcomeListener(OutcomeListener listener) {
  this->outcome_listener = std::move(listener);
}

void AttemptController::SetFinishOrReleaseListener(
    std::function<void()> listener) {
  this->finish_or_release_listener = std::move(listener);
}

std::string AttemptController::AttemptId(AttemptNumber number) const {
  return fmt::format("{}.{}", this->incarnation, number);
}

void AttemptController::StartAttempt(Job& job, std::uint32_t task_index,
                                     EndpointState& endpoint) {
  const base::TimePoint now = this->clock.Now();
  const AttemptNumber number = ++this->last_attempt;
  Task& task = job.tasks[task_index];
  task.state = TaskState::kRunning;
  task.attempt = number;
  task.started_at = now;
  ++job.possible_starts;
  ++endpoint.running;
  ServiceLoad& load = this->board.services[job.service->name];
  ++load.running_tasks;
  load.retry_budget.OnStart(job.service->retry_budget);
  Attempt& attempt = this->board.attempts[number];
  attempt.number = number;
  attempt.job = job.id;
  attempt.task = task_index;
  attempt.endpoint = &endpoint;
  attempt.service = job.service;
  attempt.declared_run_time = task.declared_run_time;
  attempt.started_at = now;
  attempt.lease_until = now + job.service->lease;
  attempt.timeout_timer = this->clock.StartTimer(
      job.service->task_timeout, [this, number] { this->OnTimeout(number); });
  this->metrics.Count("attempts.started");
  TaskCall call;
  call.endpoint = endpoint.address;
  call.attempt_id = this->AttemptId(number);
  call.task_id = fmt::format("{}#{}", job.key.Format(), task_index);
  call.service = job.service->name;
  call.lease = job.service->lease;
  call.time_left = job.deadline - now;
  call.idempotent = task.idempotent;
  call.payload = task.payload;
  this->client.Start(call, [this, number](const AttemptResult& result) {
    this->OnResult(number, result);
  });
}

void AttemptController::StopAttempt(AttemptNumber number) {
  const auto found = this->board.attempts.find(number);
  if (found == this->board.attempts.end()) return;
  found->second.job = 0;
  this->BeginStop(found->second);
}

void AttemptController::OnResult(AttemptNumber number,
                                 const AttemptResult& result) {
  const auto found = this->board.attempts.find(number);
  if (found == this->board.attempts.end() || found->second.stopping) {
    this->metrics.Count("attempts.late_answers");
    return;
  }
  this->FinishAttempt(found->second, result);
}

void AttemptController::OnTimeout(AttemptNumber number) {
  const auto found = this->board.attempts.find(number);
  if (found == this->board.attempts.end()) return;
  found->second.timeout_timer = 0;
  if (found->second.stopping) return;
  this->metrics.Count("attempts.timeouts");
  this->FinishAttempt(
      found->second,
      {AttemptOutcome::kUnknown, "the task did not end within its timeout"});
}

void AttemptController::FinishAttempt(Attempt& attempt,
                                      const AttemptResult& result) {
  const AttemptNumber number = attempt.number;
  const JobId job = attempt.job;
  const std::uint32_t task = attempt.task;
  this->metrics.Count(
      fmt::format("attempts.{}", AttemptOutcomeName(result.outcome)));
  this->health.OnOutcome(attempt, result.outcome);
  if (result.outcome == AttemptOutcome::kRefusedLeaving) {
    this->leaving.MarkLeaving(attempt.endpoint->address);
  }
  attempt.job = 0;
  if (result.outcome == AttemptOutcome::kUnknown) {
    this->BeginStop(attempt);
  } else {
    this->ReleaseSlot(number);
  }
  if (job != 0) this->outcome_listener(job, task, result);
  this->finish_or_release_listener();
}

void AttemptController::BeginStop(Attempt& attempt) {
  if (attempt.stopping) return;
  attempt.stopping = true;
  const AttemptNumber number = attempt.number;
  this->metrics.Count("attempts.stops");
  this->client.Stop(
      attempt.endpoint->address, this->AttemptId(number),
      [this, number](bool confirmed) { this->OnStopped(number, confirmed); });
}

void AttemptController::OnStopped(AttemptNumber number, bool confirmed) {
  const auto found = this->board.attempts.find(number);
  if (found == this->board.attempts.end()) return;
  const base::Duration lease_left =
      found->second.lease_until - this->clock.Now();
  if (confirmed || lease_left <= base::Duration{0}) {
    this->ReleaseSlot(number);
    this->finish_or_release_listener();
    return;
  }
  this->clock.CancelTimer(found->second.timeout_timer);
  found->second.timeout_timer =
      this->clock.StartTimer(lease_left, [this, number] {
        this->ReleaseSlot(number);
        this->finish_or_release_listener();
      });
}

void AttemptController::ReleaseSlot(AttemptNumber number) {
  const auto found = this->board.attempts.find(number);
  if (found == this->board.attempts.end()) return;
  Attempt& attempt = found->second;
  this->clock.CancelTimer(attempt.timeout_timer);
  ServiceLoad& load = this->board.services[attempt.service->name];
  const bool counted =
      base::SoftAssert(attempt.endpoint->running > 0 && load.running_tasks > 0,
                       "a released slot is counted as in use");
  if (counted) {
    --attempt.endpoint->running;
    --load.running_tasks;
  }
  this->board.attempts.erase(found);
}

void AttemptController::RenewLeases() {
  this->FinishExpiredAttempts();
  const base::TimePoint now = this->clock.Now();
  std::map<std::string, std::vector<AttemptNumber>> due;
  for (const auto& [number, attempt] : this->board.attempts) {
    if (attempt.stopping) continue;
    const base::Duration left = attempt.lease_until - now;
    const base::Duration lease = attempt.service->lease;
    if (left > lease - lease / kLeaseRenewalDivisor) continue;
    due[attempt.endpoint->address].push_back(number);
  }
  for (auto& [address, numbers] : due) {
    this->RenewLeasesAt(address, std::move(numbers));
  }
}

void AttemptController::FinishExpiredAttempts() {
  const base::TimePoint now = this->clock.Now();
  std::vector<AttemptNumber> expired;
  for (const auto& [number, attempt] : this->board.attempts) {
    if (!attempt.stopping && now >= attempt.lease_until) {
      expired.push_back(number);
    }
  }
  for (const AttemptNumber number : expired) {
    // Finishing one attempt may stop other attempts of the same job.
    const auto found = this->board.attempts.find(number);
    if (found == this->board.attempts.end()) continue;
    if (found->second.stopping) continue;
    this->metrics.Count("attempts.lapsed");
    this->FinishAttempt(found->second, {AttemptOutcome::kUnknown,
                                        "the lease of the attempt expired"});
  }
}

void AttemptController::RenewLeasesAt(const std::string& address,
                                      std::vector<AttemptNumber> numbers) {
  const base::TimePoint sent_at = this->clock.Now();
  std::vector<std::string> ids;
  // Services that share the endpoint may have different leases; the shortest
  // lease applies to all attempts.
  base::Duration lease =
      this->board.attempts.at(numbers.front()).service->lease;
  for (const AttemptNumber number : numbers) {
    ids.push_back(this->AttemptId(number));
    lease = std::min(lease, this->board.attempts.at(number).service->lease);
  }
  this->metrics.Count("attempts.renewals");
  const auto on_answer = [this, numbers = std::move(numbers), sent_at,
                          lease](bool renewed) {
    if (!renewed) return;
    for (const AttemptNumber number : numbers) {
      const auto found = this->board.attempts.find(number);
      if (found == this->board.attempts.end()) continue;
      // Counts from the time of sending, so that the lease expires here before
      // it expires at the endpoint.
      found->second.lease_until = sent_at + lease;
    }
  };
  this->client.Renew(address, ids, lease, on_answer);
}

}  // namespace hawthornwheel::dispatch
