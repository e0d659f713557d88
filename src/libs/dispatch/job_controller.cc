#include "dispatch/job_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "absl/hash/hash.h"
#include "base/metrics.h"
#include "dispatch/failure.h"
#include "dispatch/routing_controller.h"

namespace hawthornwheel::dispatch {
namespace {

using base::Error;
using base::ErrorKind;
using std::chrono::milliseconds;

constexpr base::Duration kForgetInterval = std::chrono::seconds(1);

// Two submissions under one key are the same when they ask for the same work.
std::uint64_t FingerprintOf(const wire::SubmitRequest& request) {
  std::size_t hash = absl::HashOf(request.team(), request.service(),
                                  static_cast<int>(request.urgency()));
  for (const wire::TaskSpec& task : request.tasks()) {
    hash = absl::HashOf(hash, task.payload(), task.run_time_ms(),
                        task.size_bytes(), task.idempotent());
  }
  return hash;
}

FairQueue::Path PathOf(const Job& job) {
  return {job.service->team, job.service->name, job.urgency};
}

}  // namespace

JobController::JobController(base::Clock& clock,
                             const AdmissionController& admission,
                             AttemptController& attempts,
                             RoutingController& routing, DispatchBoard& board,
                             base::Metrics& metrics,
                             const DispatchSettings& settings, std::string home)
    : clock(clock),
      admission(admission),
      attempts(attempts),
      routing(routing),
      board(board),
      metrics(metrics),
      settings(settings),
      registry(clock, std::move(home), settings.epoch_length,
               settings.remembered_epochs, settings.max_keys),
      forget_timer(clock) {
  this->attempts.SetOutcomeListener(
      [this](JobId id, std::uint32_t task, const AttemptResult& result) {
        this->OnOutcome(id, task, result);
      });
  this->attempts.SetSlotListener([this] { this->routing.Run(); });
  this->routing.SetExpiryListener([this](JobId id) {
    const auto found = this->board.jobs.find(id);
    if (found == this->board.jobs.end() || found->second->ended) return;
    this->Fail(*found->second, Error(ErrorKind::kDeadlineExceeded, ""));
  });
  this->forget_timer.StartPeriodic(kForgetInterval,
                                   [this] { this->ForgetDue(); });
}

void JobController::SetReadiness(std::function<bool()> is_ready) {
  this->is_ready = std::move(is_ready);
}

std::string JobController::CurrentPrefix() const {
  return this->registry.CurrentPrefix();
}

bool JobController::IsReady() const {
  return !this->board.draining && (!this->is_ready || this->is_ready());
}

void JobController::Submit(const wire::SubmitRequest& request,
                           base::Duration wait, AnswerCallback done) {
  this->metrics.Count("jobs.submissions");
  SubmissionKey key;
  const bool key_assigned = request.key().empty();
  if (key_assigned) {
    key = this->registry.Mint();
  } else {
    const auto parsed = SubmissionKey::Parse(request.key());
    if (!parsed) {
      this->Refuse(request.key(),
                   Error(ErrorKind::kKeyMalformed,
                         "must be home/epoch/caller part", "key"),
                   done);
      return;
    }
    key = *parsed;
  }
  const KeyStanding standing = this->registry.Check(key);
  if (standing == KeyStanding::kKnown) {
    this->AnswerKnown(key, FingerprintOf(request), wait, std::move(done));
    return;
  }
  if (standing != KeyStanding::kFresh) {
    this->RefuseStanding(key, standing, done);
    return;
  }
  auto admitted = this->admission.Admit(request);
  if (!admitted) {
    // A copy of this submission may still be under way. Sealed, its key keeps
    // the "not run" that the caller is told now true.
    if (!key_assigned) {
      this->registry.Seal(key, admitted.GetError().Kind());
    }
    this->Refuse(request.key(), admitted.GetError(), done);
    return;
  }
  Job& job = this->CreateJob(key, key_assigned, request, *admitted);
  this->Wait(job, wait, std::move(done));
  this->metrics.Count("jobs.admitted");
  this->routing.Run();
}

void JobController::RefuseStanding(const SubmissionKey& key,
                                   KeyStanding standing,
                                   const AnswerCallback& done) {
  const std::string text = key.Format();
  switch (standing) {
    case KeyStanding::kSealed:
      this->Refuse(text,
                   Error(this->registry.SealReason(key),
                         "the key was refused before", "key"),
                   done);
      return;
    case KeyStanding::kForeign:
      this->Refuse(text,
                   Error(ErrorKind::kKeyExpired,
                         "the key's epoch is not one of this process", "key"),
                   done);
      return;
    case KeyStanding::kExpired:
      this->Refuse(text, Error(ErrorKind::kKeyExpired, "", "key"), done);
      return;
    case KeyStanding::kFresh:
    case KeyStanding::kKnown:
      this->Refuse(text, Error(ErrorKind::kUnknownJob, "", "key"), done);
      return;
  }
}

Job& JobController::CreateJob(
    const SubmissionKey& key, bool key_assigned,
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
  // The longest task goes first, as a job ends with its slowest task. `queued`
  // is taken from its end.
  std::stable_sort(job.queued.begin(), job.queued.end(),
                   [&job](std::uint32_t a, std::uint32_t b) {
                     return job.tasks[a].declared_run_time <
                            job.tasks[b].declared_run_time;
                   });
  job.deadline_timer =
      this->clock.StartTimer(milliseconds(request.timeout_ms()), [this, id] {
        const auto found = this->board.jobs.find(id);
        if (found == this->board.jobs.end() || found->second->ended) return;
        this->Fail(*found->second, Error(ErrorKind::kDeadlineExceeded, ""));
      });
  this->registry.Remember(key, {id, FingerprintOf(request)});
  CountQueued(this->board.services[job.service->name], job.urgency,
              static_cast<std::uint32_t>(job.tasks.size()), job.admitted_at);
  this->board.queue.PushBack(PathOf(job), id);
  this->board.jobs[id] = std::move(owned);
  ++this->open_jobs;
  return job;
}

void JobController::AnswerKnown(const SubmissionKey& key,
                                std::uint64_t fingerprint, base::Duration wait,
                                AnswerCallback done) {
  const KeyRegistry::Entry* entry = this->registry.Find(key);
  if (entry->fingerprint != fingerprint) {
    this->Refuse(key.Format(), Error(ErrorKind::kKeyConflict, "", "key"), done);
    return;
  }
  this->metrics.Count("jobs.resubmissions");
  const auto found = this->board.jobs.find(entry->job);
  if (found == this->board.jobs.end()) {
    this->Refuse(key.Format(),
                 Error(ErrorKind::kKeyExpired,
                       "the job ended and its answer is no longer kept", "key"),
                 done);
    return;
  }
  this->Wait(*found->second, wait, std::move(done));
}

void JobController::Query(const std::string& text, base::Duration wait,
                          AnswerCallback done) {
  const auto key = SubmissionKey::Parse(text);
  if (!key) {
    this->Refuse(text, Error(ErrorKind::kKeyMalformed, "", "key"), done);
    return;
  }
  const KeyStanding standing = this->registry.Check(*key);
  if (standing == KeyStanding::kKnown) {
    this->AnswerKnown(*key, this->registry.Find(*key)->fingerprint, wait,
                      std::move(done));
    return;
  }
  this->RefuseStanding(*key, standing, done);
}

void JobController::Cancel(const std::string& text, AnswerCallback done) {
  const auto key = SubmissionKey::Parse(text);
  if (!key) {
    this->Refuse(text, Error(ErrorKind::kKeyMalformed, "", "key"), done);
    return;
  }
  const KeyStanding standing = this->registry.Check(*key);
  if (standing == KeyStanding::kFresh) {
    this->registry.Seal(*key, ErrorKind::kCancelled);
    this->Refuse(text, Error(ErrorKind::kCancelled, "", "key"), done);
    return;
  }
  if (standing == KeyStanding::kKnown) {
    const auto found = this->board.jobs.find(this->registry.Find(*key)->job);
    if (found != this->board.jobs.end() && !found->second->ended) {
      this->Fail(*found->second, Error(ErrorKind::kCancelled, ""));
      this->routing.Run();
    }
  }
  this->Query(text, base::Duration{0}, std::move(done));
}

void JobController::Wait(Job& job, base::Duration wait, AnswerCallback done) {
  if (job.ended) {
    done(job.answer);
    return;
  }
  if (wait <= base::Duration{0}) {
    done(this->PendingAnswer(job));
    return;
  }
  Waiter& waiter = job.waiters.emplace_back();
  waiter.id = ++this->last_waiter;
  waiter.callback = std::move(done);
  waiter.timer =
      this->clock.StartTimer(wait, [this, id = job.id, number = waiter.id] {
        this->OnWaitOver(id, number);
      });
}

void JobController::OnWaitOver(JobId id, std::uint64_t number) {
  const auto found = this->board.jobs.find(id);
  if (found == this->board.jobs.end()) return;
  Job& job = *found->second;
  const auto waiter =
      std::find_if(job.waiters.begin(), job.waiters.end(),
                   [number](const Waiter& one) { return one.id == number; });
  if (waiter == job.waiters.end()) return;
  const AnswerCallback callback = std::move(waiter->callback);
  job.waiters.erase(waiter);
  callback(this->PendingAnswer(job));
}

void JobController::Refuse(const std::string& key, const Error& error,
                           const AnswerCallback& done) {
  this->metrics.Count(
      fmt::format("refusals.{}", base::DescribeError(error.Kind()).name));
  wire::JobAnswer answer = MakeFailedAnswer(key, error, false);
  answer.set_next_prefix(this->CurrentPrefix());
  done(answer);
}

wire::JobAnswer JobController::PendingAnswer(const Job& job) const {
  wire::JobAnswer answer;
  answer.set_key(job.key.Format());
  answer.set_key_assigned(job.key_assigned);
  answer.set_state(wire::PENDING);
  answer.set_next_prefix(this->CurrentPrefix());
  return answer;
}

void JobController::OnOutcome(JobId id, std::uint32_t task,
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

void JobController::OnCompleted(Job& job, std::uint32_t index,
                                const AttemptResult& result) {
  Task& task = job.tasks[index];
  task.state = TaskState::kCompleted;
  task.attempt = 0;
  task.result = result.content;
  ++job.completed;
  if (job.completed == job.tasks.size()) this->Complete(job);
}

void JobController::OnNotStarted(Job& job, std::uint32_t index,
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

void JobController::Requeue(Job& job, std::uint32_t index) {
  const bool in_queue = !job.queued.empty();
  job.queued.push_back(index);
  CountQueued(this->board.services[job.service->name], job.urgency, 1,
              this->clock.Now());
  if (!in_queue) this->board.queue.PushFront(PathOf(job), job.id);
}

void JobController::Complete(Job& job) {
  wire::JobAnswer answer;
  answer.set_state(wire::COMPLETE);
  for (Task& task : job.tasks) {
    answer.add_results()->set_payload(std::move(task.result));
  }
  const base::Duration took = this->clock.Now() - job.admitted_at;
  this->metrics.Observe(
      fmt::format("response_ms.{}", fleet::UrgencyName(job.urgency)),
      static_cast<double>(took.count()) / 1000.0);
  this->metrics.Count("jobs.completed");
  this->End(job, std::move(answer));
}

void JobController::Fail(Job& job, const Error& error) {
  this->metrics.Count("jobs.failed");
  this->metrics.Count(
      fmt::format("failures.{}", base::DescribeError(error.Kind()).name));
  this->End(job, MakeFailedAnswer("", error, job.possible_starts > 0));
}

void JobController::End(Job& job, wire::JobAnswer answer) {
  job.ended = true;
  --this->open_jobs;
  this->clock.CancelTimer(job.deadline_timer);
  CountUnqueued(this->board.services[job.service->name], job.urgency,
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
  answer.set_next_prefix(this->CurrentPrefix());
  job.answer = std::move(answer);
  this->ScheduleForget(job.id);
  const std::vector<Waiter> waiters = std::move(job.waiters);
  job.waiters.clear();
  const wire::JobAnswer final_answer = job.answer;
  for (const Waiter& waiter : waiters) {
    this->clock.CancelTimer(waiter.timer);
    waiter.callback(final_answer);
  }
}

void JobController::ScheduleForget(JobId id) {
  this->retained.emplace_back(
      this->clock.Now() + this->settings.answer_retention, id);
}

void JobController::ForgetDue() {
  const base::TimePoint now = this->clock.Now();
  while (!this->retained.empty() && this->retained.front().first <= now) {
    this->board.jobs.erase(this->retained.front().second);
    this->retained.pop_front();
  }
}

void JobController::FailAll(ErrorKind kind, const std::string& detail) {
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
