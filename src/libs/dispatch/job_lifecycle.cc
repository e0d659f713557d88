#include "dispatch/job_lifecycle.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "dispatch/admission_controller.h"
#include "dispatch/failure.h"
#include "dispatch/routing_controller.h"

namespace hawthornwheel::dispatch {
namespace {

using base::Error;
using base::ErrorKind;
using std::chrono::milliseconds;

constexpr base::Duration kCleanupInterval = std::chrono::seconds(1);
constexpr double kMicrosecondsPerMillisecond = 1000;

FairQueue::Path PathOf(const Job& job) {
  return {job.service->organisation, job.service->name, job.urgency};
}

}  // namespace

JobLifecycle::JobLifecycle(base::Clock& clock, AttemptController& attempts,
                           RoutingController& routing, DispatchBoard& board,
                           base::Metrics& metrics,
                           const DispatchSettings& settings)
    : clock(clock),
      attempts(attempts),
      routing(routing),
      board(board),
      metrics(metrics),
      settings(settings),
      cleanup_timer(clock) {
  this->attempts.SetOutcomeListener(
      [this](JobId id, std::uint32_t task, const AttemptResult& result) {
        this->OnOutcome(id, task, result);
      });
  this->attempts.SetFinishOrReleaseListener([this] { this->routing.Run(); });
  this->routing.SetExpiryListener([this](JobId id) { this->Expire(id); });
  this->cleanup_timer.StartPeriodic(kCleanupInterval,
                                    [this] { this->RemoveExpiredAnswers(); });
}

void JobLifecycle::SetEndListener(std::function<void(Job&)> listener) {
  this->end_listener = std::move(listener);
}

Job& JobLifecycle::Create(const SubmissionKey& key, bool key_assigned,
                          const wire::SubmitRequest& request,
                          std::shared_ptr<const fleet::ServiceConfig> service) {
  const JobId id = ++this->last_job;
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  job.id = id;
  job.key = key;
  job.key_assigned = key_assigned;
  job.service = std::move(service);
  job.urgency = AdmissionController::UrgencyOf(request);
  job.admitted_at = this->clock.Now();
  job.deadline = job.admitted_at + milliseconds(request.timeout_ms());
  for (const wire::TaskSpec& spec : request.tasks()) {
    Task& task = job.tasks.emplace_back();
    task.payload = spec.payload();
    task.declared_run_time = milliseconds(spec.run_time_ms());
    task.idempotent = spec.idempotent() || job.service->idempotent;
    job.queued.push_back(static_cast<std::uint32_t>(job.tasks.size() - 1));
  }
  // The longest task starts first, because a job ends with its slowest task.
  // Tasks are taken from the end of `queued`.
  std::stable_sort(job.queued.begin(), job.queued.end(),
                   [&job](std::uint32_t a, std::uint32_t b) {
                     return job.tasks[a].declared_run_time <
                            job.tasks[b].declared_run_time;
                   });
  job.deadline_timer = this->clock.StartTimer(
      milliseconds(request.timeout_ms()), [this, id] { this->Expire(id); });
  AddQueuedTasks(this->board.services[job.service->name], job.urgency,
                 static_cast<std::uint32_t>(job.tasks.size()), job.admitted_at);
  this->board.queue.PushBack(PathOf(job), id);
  this->board.jobs[id] = std::move(owned);
  ++this->open_jobs;
  return job;
}

void JobLifecycle::Expire(JobId id) {
  const auto found = this->board.jobs.find(id);
  if (found == this->board.jobs.end() || found->second->ended) return;
  this->Fail(*found->second, Error(ErrorKind::kDeadlineExceeded, ""));
}

void JobLifecycle::OnOutcome(JobId id, std::uint32_t task,
                             const AttemptResult& result) {
  const auto found = this->board.jobs.find(id);
  if (found == this->board.jobs.end() || found->second->ended) return;
  Job& job = *found->second;
  switch (result.outcome) {
    case AttemptOutcome::kCompleted:
      this->OnCompleted(job, task, result);
      return;
    case AttemptOutcome::kFailed:
      this->Fail(job, Error(ErrorKind::kTaskFailed, result.content,
                            fmt::format("tasks[{}]", task)));
      return;
    case AttemptOutcome::kUnknown:
      this->Fail(job, Error(ErrorKind::kOutcomeUnknown, result.content,
                            fmt::format("tasks[{}]", task)));
      return;
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kRefusedLeaving:
    case AttemptOutcome::kNotSent:
      this->OnNotStarted(job, task, result);
      return;
  }
}

void JobLifecycle::OnCompleted(Job& job, std::uint32_t index,
                               const AttemptResult& result) {
  Task& task = job.tasks[index];
  task.state = TaskState::kCompleted;
  task.attempt = 0;
  task.result = result.content;
  job.longest_run =
      std::max(job.longest_run, this->clock.Now() - task.started_at);
  ++job.completed;
  if (job.completed == job.tasks.size()) this->Complete(job);
}

void JobLifecycle::OnNotStarted(Job& job, std::uint32_t index,
                                const AttemptResult& result) {
  Task& task = job.tasks[index];
  --job.possible_starts;
  task.attempt = 0;
  task.state = TaskState::kQueued;
  ++task.refusals;
  if (task.refusals > job.service->max_refusals) {
    this->Fail(job, Error(ErrorKind::kRetriesExhausted,
                          fmt::format("refused {} times, last: {}",
                                      task.refusals, result.content),
                          fmt::format("tasks[{}]", index)));
    return;
  }
  if (!this->board.services[job.service->name].retry_budget.TryTake()) {
    this->Fail(job, Error(ErrorKind::kRetriesExhausted,
                          "the retry budget of the service is spent",
                          fmt::format("tasks[{}]", index)));
    return;
  }
  this->metrics.Count("attempts.retries");
  this->Requeue(job, index);
}

void JobLifecycle::Requeue(Job& job, std::uint32_t index) {
  const bool in_queue = !job.queued.empty();
  job.queued.push_back(index);
  AddQueuedTasks(this->board.services[job.service->name], job.urgency, 1,
                 this->clock.Now());
  if (!in_queue) this->board.queue.PushFront(PathOf(job), job.id);
}

void JobLifecycle::Complete(Job& job) {
  wire::JobAnswer answer;
  answer.set_state(wire::COMPLETE);
  for (Task& task : job.tasks) {
    answer.add_results()->set_payload(std::move(task.result));
  }
  const base::Duration took = this->clock.Now() - job.admitted_at;
  this->metrics.Observe(
      fmt::format("response_ms.{}", fleet::UrgencyName(job.urgency)),
      static_cast<double>(took.count()) / kMicrosecondsPerMillisecond);
  if (job.longest_run.count() > 0) {
    // The ideal ratio is 1: all tasks start at once, and the job takes as long
    // as its longest task at the endpoint where it ran.
    this->metrics.Observe("response_ratio",
                          static_cast<double>(took.count()) /
                              static_cast<double>(job.longest_run.count()));
  }
  this->metrics.Count("jobs.completed");
  this->End(job, std::move(answer));
}

void JobLifecycle::Fail(Job& job, const Error& error) {
  this->metrics.Count("jobs.failed");
  this->metrics.Count(
      fmt::format("failures.{}", base::DescribeError(error.Kind()).name));
  this->End(job, MakeFailedAnswer("", error, job.possible_starts > 0));
}

void JobLifecycle::End(Job& job, wire::JobAnswer answer) {
  job.ended = true;
  --this->open_jobs;
  this->clock.CancelTimer(job.deadline_timer);
  RemoveQueuedTasks(this->board.services[job.service->name], job.urgency,
                    static_cast<std::uint32_t>(job.queued.size()));
  job.queued.clear();
  for (const Task& task : job.tasks) {
    if (task.state == TaskState::kRunning && task.attempt != 0) {
      this->attempts.StopAttempt(task.attempt);
    }
  }
  job.tasks.clear();
  job.tasks.shrink_to_fit();
  answer.set_key(job.key.Format());
  answer.set_key_assigned(job.key_assigned);
  job.answer = std::move(answer);
  this->ScheduleRemoval(job.id);
  if (this->end_listener) this->end_listener(job);
}

void JobLifecycle::ScheduleRemoval(JobId id) {
  this->retained.emplace_back(
      this->clock.Now() + this->settings.answer_retention, id);
}

void JobLifecycle::RemoveExpiredAnswers() {
  const base::TimePoint now = this->clock.Now();
  while (!this->retained.empty() && this->retained.front().first <= now) {
    this->board.jobs.erase(this->retained.front().second);
    this->retained.pop_front();
  }
}

void JobLifecycle::FailAll(ErrorKind kind, const std::string& detail) {
  std::vector<JobId> open;
  for (const auto& [id, job] : this->board.jobs) {
    if (!job->ended) open.push_back(id);
  }
  for (const JobId id : open) {
    Job& job = *this->board.jobs.at(id);
    if (!job.ended) this->Fail(job, Error(kind, detail));
  }
}

}  // namespace hawthornwheel::dispatch
