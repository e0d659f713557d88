#include "dispatch/job_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/hash/hash.h"
#include "base/excerpt.h"
#include "base/metrics.h"
#include "dispatch/failure.h"
#include "dispatch/routing_controller.h"

namespace hawthornwheel::dispatch {
namespace {

using base::Error;
using base::ErrorKind;
// Returns a hash of the work that a request describes. Submissions with the
// same key and the same fingerprint count as one job.
std::uint64_t FingerprintOf(const wire::SubmitRequest& request) {
  std::size_t hash = absl::HashOf(request.team(), request.service(),
                                  static_cast<int>(request.urgency()));
  for (const wire::TaskSpec& task : request.tasks()) {
    hash = absl::HashOf(hash, task.payload(), task.run_time_ms(),
                        task.size_bytes(), task.idempotent());
  }
  return hash;
}

}  // namespace

JobController::JobController(base::Clock& clock,
                             const AdmissionController& admission,
                             JobLifecycle& lifecycle,
                             RoutingController& routing, DispatchBoard& board,
                             base::Metrics& metrics,
                             const DispatchSettings& settings, std::string home)
    : clock(clock),
      admission(admission),
      lifecycle(lifecycle),
      routing(routing),
      board(board),
      metrics(metrics),
      registry(clock, std::move(home), settings.epoch_length,
               settings.remembered_epochs, settings.max_keys) {
  this->lifecycle.SetEndListener(
      [this](Job& job) { this->AnswerWaiters(job); });
}

void JobController::SetReadinessCheck(std::function<bool()> is_ready) {
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
      this->RefuseMalformed(request.key(), done);
      return;
    }
    key = *parsed;
  }
  const KeyStatus status = this->registry.Check(key);
  if (status == KeyStatus::kKnown) {
    this->AnswerKnown(key, FingerprintOf(request), wait, std::move(done));
    return;
  }
  if (status != KeyStatus::kFresh) {
    this->RefuseByStatus(key, status, done);
    return;
  }
  auto admitted = this->admission.Admit(request);
  if (!admitted) {
    // A duplicate of this submission may still be in flight. Sealing the key
    // prevents it from running after the caller was answered "not run".
    if (!key_assigned) {
      this->registry.Seal(key, admitted.GetError().Kind());
    }
    this->Refuse(request.key(), admitted.GetError(), done);
    return;
  }
  Job& job = this->lifecycle.Create(key, key_assigned, request, *admitted);
  this->registry.Remember(key, {job.id, FingerprintOf(request)});
  this->Wait(job, wait, std::move(done));
  this->metrics.Count("jobs.admitted");
  this->routing.Run();
}

void JobController::RefuseMalformed(const std::string& key,
                                    const AnswerCallback& done) {
  this->Refuse(
      base::Excerpt(key),
      Error(ErrorKind::kKeyMalformed, "must be home/epoch/caller part", "key"),
      done);
}

void JobController::RefuseByStatus(const SubmissionKey& key, KeyStatus status,
                                   const AnswerCallback& done) {
  const std::string text = key.Format();
  switch (status) {
    case KeyStatus::kSealed:
      this->Refuse(text,
                   Error(this->registry.SealReason(key),
                         "the key was refused or cancelled before", "key"),
                   done);
      return;
    case KeyStatus::kForeign:
      this->Refuse(text,
                   Error(ErrorKind::kKeyExpired,
                         "the key belongs to another home process, or its "
                         "epoch has not begun",
                         "key"),
                   done);
      return;
    case KeyStatus::kExpired:
      this->Refuse(text, Error(ErrorKind::kKeyExpired, "", "key"), done);
      return;
    case KeyStatus::kFresh:
    case KeyStatus::kKnown:
      this->Refuse(text, Error(ErrorKind::kUnknownJob, "", "key"), done);
      return;
  }
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
    this->RefuseMalformed(text, done);
    return;
  }
  const KeyStatus status = this->registry.Check(*key);
  if (status == KeyStatus::kKnown) {
    this->AnswerKnown(*key, this->registry.Find(*key)->fingerprint, wait,
                      std::move(done));
    return;
  }
  this->RefuseByStatus(*key, status, done);
}

void JobController::Cancel(const std::string& text, AnswerCallback done) {
  const auto key = SubmissionKey::Parse(text);
  if (!key) {
    this->RefuseMalformed(text, done);
    return;
  }
  const KeyStatus status = this->registry.Check(*key);
  if (status == KeyStatus::kFresh) {
    this->registry.Seal(*key, ErrorKind::kCancelled);
    this->Refuse(text, Error(ErrorKind::kCancelled, "", "key"), done);
    return;
  }
  if (status == KeyStatus::kKnown) {
    const auto found = this->board.jobs.find(this->registry.Find(*key)->job);
    if (found != this->board.jobs.end() && !found->second->ended) {
      this->lifecycle.Fail(*found->second, Error(ErrorKind::kCancelled, ""));
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
        this->OnWaitTimeout(id, number);
      });
}

void JobController::AnswerWaiters(Job& job) {
  job.answer.set_next_prefix(this->CurrentPrefix());
  const std::vector<Waiter> waiters = std::move(job.waiters);
  job.waiters.clear();
  const wire::JobAnswer answer = job.answer;
  for (const Waiter& waiter : waiters) {
    this->clock.CancelTimer(waiter.timer);
    waiter.callback(answer);
  }
}

void JobController::OnWaitTimeout(JobId id, std::uint64_t number) {
  const auto found = this->board.jobs.find(id);
  if (found == this->board.jobs.end()) return;
  Job& job = *found->second;
  const auto waiter = std::find_if(
      job.waiters.begin(), job.waiters.end(),
      [number](const Waiter& candidate) { return candidate.id == number; });
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

}  // namespace hawthornwheel::dispatch
