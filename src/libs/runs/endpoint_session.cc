#include "runs/endpoint_session.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "base/logger.h"
#include "base/metrics.h"
#include "runs/sent_order.h"

namespace hawthornwheel::runs {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("endpoint");

// Pauses before an endpoint is polled again that another one has replaced.
constexpr base::Duration kMinReplacedPause = milliseconds(250);
constexpr base::Duration kMaxReplacedPause = milliseconds(2'000);
// Delay of the claim after a probe was answered. When a partition has healed,
// the heartbeats of another holder arrive within this time.
constexpr base::Duration kClaimDelay = milliseconds(1'500);
// Interval at which an unanswered stop is sent again.
constexpr base::Duration kStopRetry = milliseconds(150);
// The token in force at the endpoint may come from a clock that is ahead. Each
// refused claim doubles the amount by which the token is raised, from 1 s to
// 512 s, which is about 17 min in total.
constexpr int kMaxFenceRaises = 10;
constexpr std::int64_t kFirstFenceRaiseMs = 1'000;

// A run that ends later than this after its first stop order is logged. An
// endpoint takes up to 50 ms, so at least one order or answer was lost or late.
constexpr base::Duration kLateStop = milliseconds(200);

// Wait of a poll while the progress of a run is watched.
constexpr base::Duration kProgressPollWait = milliseconds(160);

}  // namespace

EndpointSession::EndpointSession(const Parts& parts,
                                 catalog::EndpointEntry entry,
                                 std::uint64_t fence_floor, ClaimMode mode,
                                 std::function<void()> on_change)
    : parts(parts),
      entry(std::move(entry)),
      on_change(std::move(on_change)),
      fence(
          parts.tokens.NextClaim(parts.clock.WallMilliseconds(), fence_floor)),
      incarnation(parts.clock),
      lease_expiry(parts.clock.Now()),
      failures(parts.clock, parts.settings, this->entry.id),
      poll_timer(parts.clock),
      check_timer(parts.clock),
      lease_expiry_timer(parts.clock) {
  if (mode == ClaimMode::kAfterProbe) {
    this->state = SessionState::kUnreachable;
    this->failures.BeginSilence();
    this->Probe();
    return;
  }
  this->Poll(base::Duration{0}, false);
}

EndpointSession::~EndpointSession() { *this->callback_guard = false; }

void EndpointSession::UpdateEntry(const catalog::EndpointEntry& new_entry) {
  const bool newer =
      new_entry.incarnation_start_ms >
      std::max(this->entry.incarnation_start_ms, this->incarnation.StartMs());
  this->entry = new_entry;
  if (new_entry.incarnation_start_ms == 0 ||
      new_entry.incarnation_start_ms == this->incarnation.StartMs()) {
    const bool was_outdated = std::exchange(this->entry_outdated, false);
    if (was_outdated) this->on_change();
  }
  if (!newer) return;
  // Another program may have written the entry, so only a list of runs shows a
  // restart.
  this->incarnation.DoubtToken();
  if (this->state == SessionState::kReady) {
    this->Poll(base::Duration{0}, false);
  }
}

bool EndpointSession::IsOpen() const {
  return this->state == SessionState::kReady && !this->closed &&
         !this->entry_outdated && !this->entry.draining &&
         this->health.IsOpen(this->parts.clock.Now(),
                             static_cast<int>(this->runs.size()));
}

catalog::Resources EndpointSession::Free() const {
  catalog::Resources free = this->entry.capacity;
  for (const auto& [key, run] : this->runs) {
    if (run.foreign) return {};
    free -= run.order.resources;
  }
  return free;
}

std::optional<base::TimePoint> EndpointSession::NextFree() const {
  return NextEnd(this->runs, this->parts.clock.Now(), this->health.Pace(),
                 this->parts.settings.stop_time);
}

bool EndpointSession::Start(const TaskOrder& order, RunHandlers handlers) {
  if (!this->IsOpen() || !order.resources.FitsInto(this->Free())) return false;
  if (order.incarnation_start_ms != this->entry.incarnation_start_ms &&
      order.incarnation_start_ms != 0) {
    return false;
  }
  const RunKey key{order.task, order.run};
  if (this->runs.contains(key) || !this->HasTimeFor(order)) return false;
  const bool verified = this->IsVerified();
  Run& run = this->runs[key];
  run.order = order;
  run.handlers = std::move(handlers);
  run.started = this->parts.clock.Now();
  run.deadline = run.started + order.time_left;
  run.timer = std::make_unique<base::Timer>(this->parts.clock);
  if (verified) {
    this->SendStart(key);
    if (this->failures.PollsInFlight() == 0) {
      this->Poll(this->PollWait(), false);
    }
    this->ArmCheck();
  } else {
    run.state = RunState::kHeld;
    run.timer->StartOnce(this->parts.settings.recheck_after,
                         [this] { this->Recheck(); });
    if (this->failures.PollsInFlight() == 0) {
      this->Poll(base::Duration{0}, false);
    }
  }
  return true;
}

// Returns whether a restart of the endpoint would have been noticed by now: its
// list of runs was read a moment ago, or a request for it is in flight.
bool EndpointSession::IsVerified() const {
  if (!HeldRuns(this->runs).empty()) return false;
  return this->failures.IsAwaitingList() || this->incarnation.HasRecentList();
}

// Returns the duration of the lease that an order may grant now. Leases count
// for all runs, so none lasts beyond the time by which one of them must have
// ended whose stop is not confirmed.
base::Duration EndpointSession::GrantableLease() const {
  const auto limit = LeaseLimit(this->runs);
  if (!limit) return this->parts.settings.lease;
  return std::min(this->parts.settings.lease,
                  LeaseExpiry::LongestLease(*limit - this->parts.clock.Now()));
}

// Returns whether a lease can be granted for a task. While the leases will
// probably not be renewed, the task has to end before they expire.
bool EndpointSession::HasTimeFor(const TaskOrder& order) const {
  const base::Duration lease = this->GrantableLease();
  if (lease >= this->parts.settings.lease) return true;
  const base::Duration needed =
      IsAnyStopLost(this->runs)
          ? base::Duration(static_cast<base::Duration::rep>(
                static_cast<double>(order.estimate.count()) *
                this->health.Pace()))
          : this->parts.settings.answer_time;
  return lease >= needed;
}

void EndpointSession::SendStart(const RunKey& key) {
  const base::TimePoint now = this->parts.clock.Now();
  Run& run = this->runs.at(key);
  run.state = RunState::kStarting;
  run.fence = this->fence;
  run.start_number = ++this->last_start_number;
  run.started = now;
  run.progress = RunProgress(now);
  run.projected.reset();
  run.timer->StartOnce(this->parts.settings.recheck_after, [this] {
    this->failures.RecordLoss();
    this->Recheck();
  });
  StartOrder start;
  start.target = this->Target(this->parts.settings.lease);
  start.task = run.order.task;
  start.run = run.order.run;
  start.payload = run.order.payload;
  const base::Duration lease = this->GrantableLease();
  start.lease_until_ms = this->incarnation.LeaseUntil(lease);
  this->lease_expiry.Extend(now, lease);
  this->parts.metrics.Count("runs.starts");
  this->parts.orders.Start(
      start,
      [this, key,
       sent = this->incarnation.Snapshot(this->fence, this->last_start_number),
       guard = this->callback_guard](const OrderReply& reply) {
        if (*guard) this->OnStartReply(key, sent, reply);
      });
}

// Sends the starts that waited for a list of runs. One that was held for longer
// than an answer takes belongs to a job that may have been given up, since this
// process was paused meanwhile.
void EndpointSession::SendHeld() {
  const base::Duration max_held =
      this->parts.settings.recheck_after + 2 * this->parts.settings.answer_time;
  const base::TimePoint now = this->parts.clock.Now();
  for (const RunKey& key : HeldRuns(this->runs)) {
    const Run& run = this->runs.at(key);
    if (now - run.started > max_held || !this->HasTimeFor(run.order)) {
      this->End(key, RunOutcome::kNotRun);
    } else {
      this->SendStart(key);
    }
  }
}

void EndpointSession::EndHeld() {
  for (const RunKey& key : HeldRuns(this->runs)) {
    this->End(key, RunOutcome::kNotRun);
  }
}

void EndpointSession::OnStartReply(const RunKey& key, const SentOrder& sent,
                                   const OrderReply& reply) {
  if (!this->CheckIncarnation(reply.incarnation_start_ms)) return;
  this->failures.RecordOutcome(sent.time, reply.outcome);
  this->incarnation.RecordClock(sent, reply);
  if (this->incarnation.ShowsRestart(sent, reply)) this->Recheck();
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  Run& run = found->second;
  // The run was settled, and a copy of its job has placed it again.
  if (run.start_number != sent.start_number) return;
  if (reply.outcome != OrderOutcome::kAccepted) {
    kLog.Info(
        "Start order was not accepted. endpoint={} task={} run={} fence={} "
        "outcome={} cause=\"{}\"",
        this->entry.id, key.first, key.second, sent.fence,
        runs::NameOf(reply.outcome), reply.cause);
  }
  if (run.start_answered && IsNotCarriedOut(reply.outcome)) {
    // The endpoint has listed the run, so it has carried out an earlier
    // delivery of this order.
    if (reply.outcome == OrderOutcome::kFenced && sent.fence == this->fence) {
      this->OnFenced(sent.fence);
    }
    return;
  }
  switch (reply.outcome) {
    case OrderOutcome::kAccepted:
      run.OnAccepted(reply.incarnation_start_ms);
      return;
    case OrderOutcome::kFenced:
      // An order that was overtaken by a poll with a raised token is fenced
      // although this process still holds the endpoint.
      this->Settle(key, RunOutcome::kNotRun, SettlementEvidence::kStartRefused);
      if (sent.fence == this->fence) this->OnFenced(sent.fence);
      return;
    case OrderOutcome::kOverloaded:
    case OrderOutcome::kExpired:
    case OrderOutcome::kNoCapacity:
      this->health.RecordRefusal(this->parts.clock.Now());
      [[fallthrough]];
    case OrderOutcome::kStaleRun:
    case OrderOutcome::kInvalid:
      this->Settle(key, OutcomeOfRefusal(reply.outcome),
                   SettlementEvidence::kStartRefused);
      return;
    case OrderOutcome::kWrongInstance:
      this->OnReplaced(kMinReplacedPause);
      return;
    case OrderOutcome::kNotSent:
      this->Settle(key, RunOutcome::kNotRun, SettlementEvidence::kStartNotSent);
      this->Recheck();
      return;
    case OrderOutcome::kUnanswered:
      this->Recheck();
      return;
  }
}

void EndpointSession::Stop(const std::string& task, std::uint64_t run_number,
                           std::optional<base::TimePoint> end_by) {
  const RunKey key{task, run_number};
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  Run& run = found->second;
  if (end_by) run.end_by = run.end_by ? std::min(*run.end_by, *end_by) : end_by;
  if (run.state == RunState::kStopping) return;
  if (run.state == RunState::kHeld) {
    this->End(key, RunOutcome::kNotRun);
    return;
  }
  run.state = RunState::kStopping;
  this->SendStop(key);
}

void EndpointSession::SendStop(const RunKey& key) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  Run& run = found->second;
  if (!run.timer) run.timer = std::make_unique<base::Timer>(this->parts.clock);
  run.timer->StartOnce(kStopRetry, [this, key] { this->SendStop(key); });
  if (!run.stop_requested) run.stop_requested = this->parts.clock.Now();
  // A start and a stop without an answer: a list shows whether there is a run.
  if (run.stop_orders > 0 && !run.start_answered) this->Recheck();
  const bool was_lost = run.IsStopLost();
  ++run.stop_orders;
  if (!was_lost && run.IsStopLost()) this->ReportLostStop(key, run);
  this->parts.metrics.Count("runs.stops");
  this->parts.orders.Stop(
      this->Target(this->parts.settings.answer_time), key.first, key.second,
      [this, key,
       sent = this->incarnation.Snapshot(this->fence, this->last_start_number),
       guard = this->callback_guard](const OrderReply& reply) {
        if (!*guard || !this->CheckIncarnation(reply.incarnation_start_ms))
          return;
        this->failures.RecordOutcome(sent.time, reply.outcome);
        this->incarnation.RecordClock(sent, reply);
        // The earlier incarnation may have accepted the stop.
        if (!this->incarnation.WasSentToPresent(sent)) return;
        const auto stopped = this->runs.find(key);
        if (stopped == this->runs.end()) return;
        if (stopped->second.state != RunState::kStopping) return;
        if (reply.outcome != OrderOutcome::kAccepted) return;
        if (stopped->second.stop_clock_ms == 0) {
          stopped->second.stop_clock_ms = reply.clock_ms;
        }
        // A run that the endpoint never started has no end to report. A poll
        // after the stop time shows that the run is not there.
        stopped->second.timer->StartOnce(
            this->parts.settings.stop_time + milliseconds(10), [this, key] {
              this->Poll(base::Duration{0}, false);
              const auto remaining = this->runs.find(key);
              if (remaining == this->runs.end()) return;
              remaining->second.timer->StartOnce(
                  kStopRetry, [this, key] { this->SendStop(key); });
            });
      });
  if (this->failures.PollsInFlight() == 0)
    this->Poll(this->parts.settings.poll_wait, false);
}

void EndpointSession::Recheck() {
  // One raised token settles the outcome of all starts sent before it.
  if (this->recheck_due || this->state == SessionState::kUnreachable) return;
  this->recheck_due = true;
  this->parts.metrics.Count("runs.rechecks");
  this->Poll(base::Duration{0}, true);
}

// Sends a poll in place of one that was lost. It settles all starts so far, so
// the token is raised unless it exceeds theirs already.
void EndpointSession::RepeatPoll() {
  this->parts.metrics.Count("runs.repeated_polls");
  if (HasStartUnder(this->runs, this->fence)) {
    this->recheck_due = false;
    this->Recheck();
  } else {
    this->Poll(base::Duration{0}, false);
  }
}

void EndpointSession::Poll(base::Duration wait, bool raise_fence) {
  const base::TimePoint now = this->parts.clock.Now();
  if (raise_fence) this->RaiseFence();
  PollOrder order;
  order.target = this->Target(wait + this->parts.settings.answer_time);
  order.acked_end_seq = this->incarnation.SeenEndSeq();
  order.wait = wait;
  const base::Duration lease = this->GrantableLease();
  if (HasLease(this->runs) && this->incarnation.HasClock() &&
      !this->failures.IsSilent() && lease > base::Duration{0}) {
    order.lease_until_ms = this->incarnation.LeaseUntil(lease);
    this->lease_expiry.Extend(now, lease);
  }
  this->parts.metrics.Count("runs.polls");
  this->parts.orders.Poll(
      order,
      [this, order, number = this->failures.RecordPoll(wait),
       sent = this->incarnation.Snapshot(this->fence, this->last_start_number),
       guard = this->callback_guard](const PollReply& reply) {
        if (!*guard) return;
        const auto poll_state = this->failures.RecordReply(number);
        if (IsUnanswered(reply.order.outcome)) {
          this->OnPollFailed(sent, poll_state, reply.order);
          return;
        }
        if (this->incarnation.ObserveSetBack(
                sent, reply.order.incarnation_start_ms)) {
          this->OnRestart();
          return;
        }
        // A poll without a wait often follows a lost answer, so an older poll
        // may be lost too. The next poll for ends does not wait for its
        // timeout.
        if (order.wait <= base::Duration{0}) {
          this->failures.ForgetPollsBefore(number);
        }
        this->OnPollReply(order, sent, poll_state, reply);
      });
  this->ArmCheck();
}

void EndpointSession::ArmCheck() {
  const auto next = this->failures.TimeToCheck(this->IsCovering());
  if (next) {
    this->check_timer.StartOnce(*next, [this] { this->CheckPolls(); });
  } else {
    this->check_timer.Stop();
  }
}

// Returns whether a further poll may be sent while one waits for a run to end.
bool EndpointSession::IsCovering() const {
  return this->state == SessionState::kReady && !this->runs.empty();
}

void EndpointSession::CheckPolls() {
  if (this->state == SessionState::kFencedOff) return;
  switch (this->failures.Check(this->IsCovering(), this->recheck_due)) {
    case FailureDetector::Action::kEndUse:
      this->OnSilence("polls are not answered");
      return;
    case FailureDetector::Action::kRepeat:
      this->RepeatPoll();
      return;
    case FailureDetector::Action::kCover:
      this->parts.metrics.Count("runs.cover_polls");
      this->Poll(this->PollWait(), false);
      return;
    case FailureDetector::Action::kNone:
      this->ArmCheck();
      return;
  }
}

void EndpointSession::RaiseFence() {
  const auto raised = this->parts.tokens.NextRecheck(this->fence);
  if (raised) {
    this->fence = *raised;
    return;
  }
  // The rechecks of the claim are exhausted, so the endpoint is claimed with a
  // new token. No task starts until the endpoint has confirmed that token.
  this->fence = this->parts.tokens.NextClaim(
      this->parts.clock.WallMilliseconds(), this->fence);
  this->incarnation.DoubtToken();
  if (this->state == SessionState::kReady) {
    this->SetState(SessionState::kClaiming,
                   "rechecks of the claim are exhausted");
  }
}

void EndpointSession::PollAgain() {
  if (this->failures.PollsInFlight() > 0 ||
      this->state == SessionState::kFencedOff) {
    return;
  }
  const bool unreachable = this->state == SessionState::kUnreachable;
  if (unreachable && this->runs.empty() &&
      !this->incarnation.TokenConfirmed()) {
    this->Probe();
    return;
  }
  if (unreachable || this->state == SessionState::kClaiming) {
    this->Poll(base::Duration{0}, unreachable && !this->runs.empty());
    return;
  }
  if (this->runs.empty() && this->incarnation.AllEndsAcknowledged()) return;
  this->Poll(this->PollWait(), false);
}

// Checks whether the endpoint can be reached, with the fencing token 0, which
// claims nothing. After a partition, a holder on the other side may still be
// running. The claim therefore waits until the heartbeats of that holder have
// had time to arrive. An endpoint that has accepted the token of the claim is
// polled with that token instead: it does not outrank a later claim, and the
// endpoint rejects the late starts of runs that count as lost.
void EndpointSession::Probe() {
  if (this->probe_in_flight) return;
  this->probe_in_flight = true;
  PollOrder order;
  order.target = this->Target(this->parts.settings.answer_time);
  order.target.fence = 0;
  this->parts.orders.Poll(
      order, [this, guard = this->callback_guard](const PollReply& reply) {
        if (!*guard) return;
        this->probe_in_flight = false;
        if (this->state != SessionState::kUnreachable) return;
        if (IsUnanswered(reply.order.outcome)) {
          this->parts.metrics.Count("runs.poll_failures");
          this->OnSilence(reply.order.cause.c_str());
          return;
        }
        this->SetState(SessionState::kClaiming, "endpoint answers again");
        this->failures.EndSilence();
        this->poll_timer.StartOnce(kClaimDelay, [this] { this->PollAgain(); });
      });
}

void EndpointSession::OnPollReply(const PollOrder& order, const SentOrder& sent,
                                  FailureDetector::PollState poll_state,
                                  const PollReply& reply) {
  if (!this->CheckIncarnation(reply.order.incarnation_start_ms)) {
    if (!this->poll_timer.IsActive()) this->PollAgain();
    return;
  }
  this->incarnation.RecordClock(sent, reply.order);
  switch (reply.order.outcome) {
    case OrderOutcome::kAccepted:
      this->incarnation.RecordAcknowledgement(sent, order.acked_end_seq);
      this->ProcessEnds(reply);
      if (this->incarnation.RecordList(reply.order)) {
        this->ProcessRunning(order, reply);
      }
      this->OnPollAccepted(order, sent, reply);
      return;
    case OrderOutcome::kFenced:
      if (order.target.fence == this->fence) {
        this->OnFenced(order.target.fence);
      } else {
        this->failures.RecordAnswer(sent.time);
        this->PollAgain();
      }
      return;
    case OrderOutcome::kWrongInstance:
      this->OnReplaced(kMaxReplacedPause);
      return;
    default:
      this->OnPollFailed(sent, poll_state, reply.order);
      return;
  }
}

void EndpointSession::OnPollAccepted(const PollOrder& order,
                                     const SentOrder& sent,
                                     const PollReply& reply) {
  if (this->state == SessionState::kFencedOff) return;
  const bool confirms = order.target.fence == this->fence;
  // The endpoint answered an earlier poll, before the ones that have failed.
  if (this->state == SessionState::kUnreachable && !confirms) {
    this->PollAgain();
    return;
  }
  this->failures.EndSilence();
  this->failures.RecordAnswer(reply.ended.empty() ? sent.time + order.wait
                                                  : sent.time);
  this->fence_raises = 0;
  this->lease_expiry_timer.Stop();
  this->incarnation.RecordListTime(order, sent, reply);
  if (confirms) {
    this->recheck_due = false;
    this->incarnation.ConfirmToken();
    if (this->state != SessionState::kReady) {
      this->SetState(SessionState::kReady, "poll was answered");
    }
    this->SendHeld();
  }
  this->on_change();
  // The recheck of a start may have been due during that of an earlier one,
  // whose token does not exceed that of the start.
  if (HasOverdueStart(this->runs, this->fence)) this->Recheck();
  this->PollAgain();
}

// Handles a poll that was refused or has no answer.
void EndpointSession::OnPollFailed(const SentOrder& sent,
                                   FailureDetector::PollState poll_state,
                                   const OrderReply& reply) {
  using PollState = FailureDetector::PollState;
  if (this->state == SessionState::kFencedOff) return;
  // An older poll that fails late must not put off the next one.
  if (poll_state == PollState::kForgotten && IsUnanswered(reply.outcome))
    return;
  if (this->poll_timer.IsActive() && this->failures.IsSilent()) return;
  this->parts.metrics.Count("runs.poll_failures");
  this->failures.RecordFailure(poll_state, sent.time);
  if (this->failures.IsSilent() || this->failures.HasTooManyMisses()) {
    this->OnSilence(reply.cause.c_str());
  } else if (poll_state == PollState::kOverdue) {
    this->PollAgain();
  } else {
    this->RepeatPoll();
  }
}

// Accepts no tasks until the endpoint answers, and polls it after a pause.
void EndpointSession::OnSilence(const char* cause) {
  this->recheck_due = false;
  if (this->state != SessionState::kUnreachable) {
    this->parts.metrics.Count("runs.silent_endpoints");
    this->SetState(SessionState::kUnreachable, cause);
    this->failures.BeginSilence();
    this->check_timer.Stop();
    this->AwaitLeaseExpiry("lease expired, endpoint does not answer");
  }
  this->poll_timer.StartOnce(this->failures.NextPause(),
                             [this] { this->PollAgain(); });
}

void EndpointSession::OnFenced(std::uint64_t order_fence) {
  if (this->state == SessionState::kClaiming &&
      this->fence_raises < kMaxFenceRaises) {
    this->fence = this->parts.tokens.Raise(
        this->fence, kFirstFenceRaiseMs << this->fence_raises);
    this->incarnation.DoubtToken();
    ++this->fence_raises;
    this->PollAgain();
    return;
  }
  if (this->state == SessionState::kFencedOff) return;
  kLog.Warning(
      "Another process holds the endpoint. endpoint={} fence={} runs={}",
      this->entry.id, order_fence, this->runs.size());
  this->SetState(SessionState::kFencedOff, "higher fencing token");
  this->AwaitLeaseExpiry("fenced off");
}

// Ends the held runs, and the others when their leases have expired.
void EndpointSession::AwaitLeaseExpiry(const char* cause) {
  this->EndHeld();
  this->lease_expiry_timer.StartOnce(
      this->lease_expiry.TimeLeft(this->parts.clock.Now()), [this, cause] {
        this->EndAllAsLost(cause, SettlementEvidence::kLeaseExpired);
      });
  this->on_change();
}

void EndpointSession::ProcessEnds(const PollReply& reply) {
  for (const EndedRun& reported : reply.ended) {
    if (!this->incarnation.RecordEnd(reported.sequence_number)) continue;
    const RunKey key{reported.task, reported.run};
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) continue;
    const base::TimePoint now = this->parts.clock.Now();
    if (reported.kind == RunEndKind::kLeaseExpired && found->second.end_by) {
      this->ReportLapse(key, found->second);
    }
    const RunOutcome outcome = OutcomeOf(reported.kind);
    if (outcome == RunOutcome::kDone && !found->second.foreign) {
      this->health.RecordDone(found->second.order.estimate,
                              now - found->second.started);
    }
    if (outcome == RunOutcome::kFailed) this->health.RecordFailure(now);
    this->End(key, outcome);
  }
}

void EndpointSession::ProcessRunning(const PollOrder& order,
                                     const PollReply& reply) {
  for (const ActiveRun& reported : reply.running) {
    if (!this->runs.contains({reported.task, reported.run})) {
      this->AddForeign(reported, order.target.fence);
    }
  }
  const auto settlements =
      ApplyList(this->runs, reply, order.target.fence,
                this->incarnation.StartMs(), this->parts.settings.stop_time);
  for (const auto& [key, settlement] : settlements) {
    this->Settle(key, settlement.outcome, settlement.evidence);
  }
  for (const ActiveRun& reported : reply.running)
    this->UpdateProgress(reported);
}

void EndpointSession::UpdateProgress(const ActiveRun& reported) {
  const auto found = this->runs.find({reported.task, reported.run});
  if (found == this->runs.end()) return;
  Run& run = found->second;
  if (run.foreign || run.state != RunState::kRunning) return;
  const base::TimePoint now = this->parts.clock.Now();
  const auto projected = run.progress.AddReading(reported.percent, now);
  if (!projected) return;
  run.projected = projected;
  const base::Duration expected = *projected;
  if (run.started + expected <= run.deadline) return;
  kLog.Info(
      "Run is overdue. endpoint={} task={} run={} percent={} age_ms={} "
      "expected_ms={}",
      this->entry.id, reported.task, reported.run, reported.percent,
      (now - run.started) / milliseconds(1), expected / milliseconds(1));
  if (!run.overdue) {
    run.overdue = true;
    this->parts.metrics.Count("runs.overdue");
    this->health.RecordOverdue(now, run.order.estimate, expected);
  }
  const auto on_overdue = run.handlers.on_overdue;
  if (on_overdue) on_overdue(expected);
}

base::Duration EndpointSession::PollWait() const {
  return IsAnyWatched(this->runs, this->parts.clock.Now())
             ? std::min(kProgressPollWait, this->parts.settings.poll_wait)
             : this->parts.settings.poll_wait;
}

void EndpointSession::AddForeign(const ActiveRun& reported,
                                 std::uint64_t list_fence) {
  const RunKey key{reported.task, reported.run};
  const bool counted = this->settled.LogListed(
      this->entry.id, reported,
      {this->parts.clock.Now(), list_fence, this->incarnation.StartMs()});
  if (counted) this->parts.metrics.Count("runs.settled_in_progress");
  Run& run = this->runs[key];
  run.foreign = true;
  run.started = this->parts.clock.Now();
  // Its job may have ended long ago.
  run.end_by = run.started;
  run.start_answered = true;
  run.state = RunState::kStopping;
  run.handlers.on_end = [](RunOutcome) {};
  this->SendStop(key);
}

// Returns whether an answer counts, by the incarnation that it names.
bool EndpointSession::CheckIncarnation(std::int64_t reported_start_ms) {
  switch (this->incarnation.Observe(reported_start_ms)) {
    case IncarnationTracker::Report::kPresent:
      return true;
    case IncarnationTracker::Report::kFirst:
      this->entry_outdated =
          this->entry.incarnation_start_ms != 0 &&
          this->entry.incarnation_start_ms < reported_start_ms;
      return true;
    case IncarnationTracker::Report::kRestart:
      this->OnRestart();
      return false;
    case IncarnationTracker::Report::kEarlier:
      return false;
  }
  return false;
}

void EndpointSession::OnRestart() {
  this->entry_outdated =
      this->entry.incarnation_start_ms != 0 &&
      this->entry.incarnation_start_ms != this->incarnation.StartMs();
  this->health.RecordRestart();
  const bool was_unreachable = this->state == SessionState::kUnreachable;
  this->SetState(SessionState::kClaiming, "endpoint has restarted");
  // Held runs were placed by the entry of the previous incarnation.
  this->EndHeld();
  std::vector<RunKey> lost;
  // The new incarnation may have accepted a start before this process noticed
  // the restart. Its list of runs decides about the runs that no list of the
  // previous incarnation has shown.
  for (auto& [key, run] : this->runs) {
    if (run.OnRestart()) lost.push_back(key);
  }
  if (!this->runs.empty()) {
    kLog.Warning(
        "Endpoint has restarted. endpoint={} incarnation={} lost={} "
        "unsettled={}",
        this->entry.id, this->incarnation.StartMs(), lost.size(),
        this->runs.size() - lost.size());
  }
  for (const RunKey& key : lost) {
    this->Settle(key, RunOutcome::kLost,
                 SettlementEvidence::kEndpointRestarted);
  }
  this->fence = this->parts.tokens.NextClaim(
      this->parts.clock.WallMilliseconds(), this->fence);
  // Polls in flight were sent to the previous incarnation.
  this->failures.ForgetPolls();
  if (was_unreachable) {
    // Another process may have claimed the new incarnation.
    this->poll_timer.StartOnce(kClaimDelay, [this] { this->PollAgain(); });
  } else {
    this->Poll(base::Duration{0}, false);
  }
  this->on_change();
}

void EndpointSession::OnReplaced(base::Duration pause) {
  this->EndAllAsLost("another endpoint answers",
                     SettlementEvidence::kEndpointReplaced);
  this->SetState(SessionState::kClaiming, "another endpoint answers");
  this->poll_timer.StartOnce(pause, [this] { this->PollAgain(); });
}

OrderTarget EndpointSession::Target(base::Duration timeout) const {
  return {this->entry.address, this->entry.id, this->fence, timeout};
}

void EndpointSession::End(const RunKey& key, RunOutcome outcome) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  this->RecordStop(key, found->second, outcome);
  const auto on_end = std::move(found->second.handlers.on_end);
  this->runs.erase(found);
  this->parts.metrics.Count(std::string("runs.ended.") + runs::NameOf(outcome));
  on_end(outcome);
}

void EndpointSession::ReportLostStop(const RunKey& key, const Run& run) {
  const base::TimePoint now = this->parts.clock.Now();
  this->parts.metrics.Count("runs.lost_stops");
  kLog.Warning(
      "Stop orders have no answer. endpoint={} task={} run={} orders={} "
      "stop_ms={} renewed_for_ms={} runs={}",
      this->entry.id, key.first, key.second, run.stop_orders - 1,
      (now - *run.stop_requested) / milliseconds(1),
      run.end_by ? (*run.end_by - now) / milliseconds(1) : -1,
      this->runs.size());
}

void EndpointSession::ReportLapse(const RunKey& key, const Run& run) {
  this->parts.metrics.Count("runs.lapsed_stops");
  kLog.Warning(
      "Leases have expired to end a run whose stop was not confirmed. "
      "endpoint={} task={} run={} orders={} stop_ms={} runs={}",
      this->entry.id, key.first, key.second, run.stop_orders,
      (this->parts.clock.Now() - *run.stop_requested) / milliseconds(1),
      this->runs.size());
}

// Records how long a run that has ended went on after its first stop order.
void EndpointSession::RecordStop(const RunKey& key, const Run& run,
                                 RunOutcome outcome) {
  if (!run.stop_requested) return;
  const base::Duration stop_time =
      this->parts.clock.Now() - *run.stop_requested;
  this->parts.metrics.Observe("runs.stop_ms",
                              static_cast<double>(stop_time / milliseconds(1)));
  if (stop_time < kLateStop) return;
  this->parts.metrics.Count("runs.late_stops");
  kLog.Info(
      "Run has ended late after its stop. endpoint={} task={} run={} "
      "outcome={} stop_ms={} orders={} foreign={}",
      this->entry.id, key.first, key.second, runs::NameOf(outcome),
      stop_time / milliseconds(1), run.stop_orders, run.foreign);
}

// Ends a run whose end the endpoint has not reported.
void EndpointSession::Settle(const RunKey& key, RunOutcome outcome,
                             SettlementEvidence evidence) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  const Run& run = found->second;
  const base::TimePoint now = this->parts.clock.Now();
  if (!run.foreign) {
    kLog.Info(
        "Run is settled. endpoint={} task={} run={} outcome={} evidence={} "
        "age_ms={} answered={} order_fence={} fence={} incarnation={}",
        this->entry.id, key.first, key.second, runs::NameOf(outcome),
        NameOf(evidence), (now - run.started) / milliseconds(1),
        run.start_answered, run.fence, this->fence,
        this->incarnation.StartMs());
    this->settled.Add(key.first, key.second,
                      {outcome, evidence, run.fence, this->fence, now});
  }
  this->End(key, outcome);
}

void EndpointSession::EndAllAsLost(const char* cause,
                                   SettlementEvidence evidence) {
  this->EndHeld();
  if (this->runs.empty()) return;
  kLog.Warning("Runs are lost. endpoint={} runs={} cause=\"{}\"",
               this->entry.id, this->runs.size(), cause);
  std::vector<RunKey> keys;
  for (const auto& [key, run] : this->runs) keys.push_back(key);
  for (const RunKey& key : keys) {
    this->Settle(key, RunOutcome::kLost, evidence);
  }
  this->on_change();
}

void EndpointSession::SetState(SessionState new_state, const char* cause) {
  if (this->state == new_state) return;
  kLog.Info(
      "Session state. endpoint={} state={} before={} fence={} cause=\"{}\"",
      this->entry.id, NameOf(new_state), NameOf(this->state), this->fence,
      cause);
  this->state = new_state;
}

}  // namespace hawthornwheel::runs
