#include "runs/endpoint_session.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "base/logger.h"
#include "base/metrics.h"

namespace hawthornwheel::runs {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("endpoint");

// Clocks of endpoints may run 2% slow, so a lease lasts up to 1.02 times as
// long here; the rest covers the rounding and the way there.
constexpr int kSlowClockPercent = 102;
constexpr base::Duration kLapseMargin = milliseconds(30);
// Polls without an answer before the endpoint counts as unreachable.
constexpr int kMostPollFailures = 2;
constexpr base::Duration kFirstProbe = milliseconds(250);
constexpr base::Duration kLongestProbe = milliseconds(2'000);
// Time in which the heartbeats of a holder arrive once a partition is over.
constexpr base::Duration kClaimDelay = milliseconds(1'500);
// A stop without an answer is sent again.
constexpr base::Duration kStopRetry = milliseconds(150);
// The token in force may come from a clock that is ahead; each refusal of a
// claim raises the token by twice as much, up to some ten minutes.
constexpr int kMostFenceRaises = 10;
constexpr std::int64_t kFirstFenceRaiseMs = 1'000;

// The progress of long runs is looked at early, while there is still time to
// run them elsewhere.
constexpr base::Duration kLongEstimate = milliseconds(350);
constexpr base::Duration kWatchTime = milliseconds(500);
constexpr base::Duration kWatchWait = milliseconds(160);

const char* NameOf(SessionState state) {
  switch (state) {
    case SessionState::kClaiming:
      return "claiming";
    case SessionState::kReady:
      return "ready";
    case SessionState::kUnreachable:
      return "unreachable";
    case SessionState::kFencedOff:
      return "fenced_off";
  }
  return "unknown";
}

RunOutcome OutcomeOf(RunEndKind kind) {
  switch (kind) {
    case RunEndKind::kDone:
      return RunOutcome::kDone;
    case RunEndKind::kFailed:
      return RunOutcome::kFailed;
    case RunEndKind::kStopped:
      return RunOutcome::kStopped;
    case RunEndKind::kLapsed:
    case RunEndKind::kBroken:
    case RunEndKind::kAlone:
      return RunOutcome::kLost;
  }
  return RunOutcome::kLost;
}

}  // namespace

EndpointSession::EndpointSession(const Parts& parts,
                                 catalog::EndpointEntry entry,
                                 std::uint64_t fence_floor, ClaimMode mode,
                                 std::function<void()> on_change)
    : parts(parts),
      entry(std::move(entry)),
      on_change(std::move(on_change)),
      fence(parts.tokens.Next(parts.clock.WallMilliseconds(), fence_floor)),
      clock_read(parts.clock.Now()),
      lapse(parts.clock.Now()),
      poll_timer(parts.clock),
      lapse_timer(parts.clock) {
  if (mode == ClaimMode::kAfterProbe) {
    this->state = SessionState::kUnreachable;
    this->failures = kMostPollFailures;
    this->Probe();
    return;
  }
  this->Poll(base::Duration{0}, false);
}

EndpointSession::~EndpointSession() { *this->alive = false; }

void EndpointSession::UpdateEntry(const catalog::EndpointEntry& new_entry) {
  if (!this->CheckIncarnation(new_entry.incarnation_start_ms)) return;
  this->entry = new_entry;
}

bool EndpointSession::IsOpen() const {
  return this->state == SessionState::kReady && !this->closed &&
         !this->entry.draining &&
         this->health.IsOpen(this->parts.clock.Now(),
                             static_cast<int>(this->runs.size()));
}

catalog::Resources EndpointSession::Free() const {
  catalog::Resources room = this->entry.capacity;
  for (const auto& [key, run] : this->runs) {
    if (run.foreign) return {};
    room -= run.order.resources;
  }
  return room;
}

bool EndpointSession::Start(const TaskOrder& order, RunHandlers handlers) {
  if (!this->IsOpen() || !order.resources.FitsInto(this->Free())) return false;
  const RunKey key{order.task, order.run};
  if (this->runs.contains(key)) return false;
  const base::TimePoint now = this->parts.clock.Now();
  Run& run = this->runs[key];
  run.order = order;
  run.handlers = std::move(handlers);
  run.fence = this->fence;
  run.started = now;
  run.progress = RunProgress(now);
  run.useful_until = now + order.time_left;
  run.timer = std::make_unique<base::Timer>(this->parts.clock);
  run.timer->StartOnce(this->parts.settings.doubt_after,
                       [this] { this->Recheck(); });
  StartOrder start;
  start.target = this->Target(this->parts.settings.lease);
  start.task = order.task;
  start.run = order.run;
  start.payload = order.payload;
  start.lease_until_ms = this->LeaseUntil();
  this->lapse = std::max(
      this->lapse, now + this->parts.settings.lease * kSlowClockPercent / 100 +
                       kLapseMargin);
  this->parts.metrics.Count("runs.starts");
  this->parts.orders.Start(start,
                           [this, key, order_fence = this->fence,
                            living = this->alive](const OrderReply& reply) {
                             if (*living)
                               this->OnStartReply(key, order_fence, reply);
                           });
  if (this->open_polls == 0) this->Poll(this->PollWait(), false);
  return true;
}

void EndpointSession::OnStartReply(const RunKey& key, std::uint64_t order_fence,
                                   const OrderReply& reply) {
  if (!this->CheckIncarnation(reply.born_ms)) return;
  this->NoteClock(reply);
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  Run& run = found->second;
  if (reply.outcome != OrderOutcome::kAccepted) {
    kLog.Info(
        "Start was not taken. endpoint={} task={} run={} fence={} outcome={} "
        "cause=\"{}\"",
        this->entry.id, key.first, key.second, order_fence,
        runs::NameOf(reply.outcome), reply.cause);
  }
  switch (reply.outcome) {
    case OrderOutcome::kAccepted:
      run.start_answered = true;
      if (run.state == RunState::kStarting) {
        run.state = RunState::kRunning;
        run.timer->Stop();
      }
      return;
    case OrderOutcome::kFenced:
      // The order may have been overtaken by a poll with a raised token.
      this->End(key, RunOutcome::kNotRun);
      if (order_fence == this->fence) this->OnFenced(order_fence);
      return;
    case OrderOutcome::kStaleRun:
      this->End(key, RunOutcome::kStaleRun);
      return;
    case OrderOutcome::kOverloaded:
    case OrderOutcome::kExpired:
    case OrderOutcome::kNoRoom:
      this->health.RecordRefusal(this->parts.clock.Now());
      this->End(key, RunOutcome::kNotRun);
      return;
    case OrderOutcome::kInvalid:
      this->End(key, RunOutcome::kFailed);
      return;
    case OrderOutcome::kWrongInstance:
      this->LoseAll("another incarnation answers");
      this->SetState(SessionState::kClaiming, "another incarnation answers");
      this->poll_timer.StartOnce(kFirstProbe, [this] { this->PollAgain(); });
      return;
    case OrderOutcome::kUnanswered:
      this->Recheck();
      return;
  }
}

void EndpointSession::Stop(const std::string& task, std::uint64_t run_number) {
  const RunKey key{task, run_number};
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  if (found->second.state == RunState::kStopping) return;
  found->second.state = RunState::kStopping;
  this->SendStop(key);
}

void EndpointSession::SendStop(const RunKey& key) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  Run& run = found->second;
  if (!run.timer) run.timer = std::make_unique<base::Timer>(this->parts.clock);
  run.timer->StartOnce(kStopRetry, [this, key] { this->SendStop(key); });
  this->parts.metrics.Count("runs.stops");
  this->parts.orders.Stop(
      this->Target(this->parts.settings.answer_time), key.first, key.second,
      [this, key, living = this->alive](const OrderReply& reply) {
        if (!*living || !this->CheckIncarnation(reply.born_ms)) return;
        this->NoteClock(reply);
        const auto stopped = this->runs.find(key);
        if (stopped == this->runs.end()) return;
        if (reply.outcome != OrderOutcome::kAccepted) return;
        if (stopped->second.stop_clock_ms == 0) {
          stopped->second.stop_clock_ms = reply.clock_ms;
        }
        // A run that the endpoint never started has no end to be listed; the
        // next poll after the stop time shows that it is not there.
        stopped->second.timer->StartOnce(
            this->parts.settings.stop_time + milliseconds(10), [this, key] {
              this->Poll(base::Duration{0}, false);
              const auto still = this->runs.find(key);
              if (still == this->runs.end()) return;
              still->second.timer->StartOnce(
                  kStopRetry, [this, key] { this->SendStop(key); });
            });
      });
  if (this->open_polls == 0) this->Poll(this->parts.settings.poll_wait, false);
}

void EndpointSession::Recheck() {
  // One raised token settles all starts sent before it.
  if (this->recheck_due || this->state == SessionState::kUnreachable) return;
  this->recheck_due = true;
  this->parts.metrics.Count("runs.rechecks");
  this->Poll(base::Duration{0}, true);
}

void EndpointSession::Poll(base::Duration wait, bool raise_fence) {
  const base::TimePoint now = this->parts.clock.Now();
  if (raise_fence) this->RaiseFence();
  PollOrder order;
  order.target = this->Target(wait + this->parts.settings.answer_time);
  order.acked_end = this->seen_end;
  order.wait = wait;
  const bool renew =
      std::any_of(this->runs.begin(), this->runs.end(), [](const auto& item) {
        return !item.second.foreign && item.second.state != RunState::kStopping;
      });
  if (renew && this->clock_ms != 0 && this->failures < kMostPollFailures) {
    order.lease_until_ms = this->LeaseUntil();
    this->lapse =
        std::max(this->lapse,
                 now + this->parts.settings.lease * kSlowClockPercent / 100 +
                     kLapseMargin);
  }
  ++this->open_polls;
  this->parts.metrics.Count("runs.polls");
  this->parts.orders.Poll(
      order, [this, order, generation = this->poll_generation,
              living = this->alive](const PollReply& reply) {
        if (!*living) return;
        const bool counted = generation == this->poll_generation;
        if (counted) --this->open_polls;
        const bool lost = reply.order.outcome == OrderOutcome::kUnanswered;
        if (lost && !counted) return;
        this->OnPollReply(order, reply);
      });
}

void EndpointSession::RaiseFence() {
  const auto raised = this->parts.tokens.Recheck(this->fence);
  if (raised) {
    this->fence = *raised;
    return;
  }
  // A new claim; no task starts until it is known to be in force.
  this->fence = this->parts.tokens.Next(this->parts.clock.WallMilliseconds(),
                                        this->fence);
  if (this->state == SessionState::kReady) {
    this->SetState(SessionState::kClaiming, "rechecks of the claim ran out");
  }
}

void EndpointSession::PollAgain() {
  if (this->open_polls > 0 || this->state == SessionState::kFencedOff) return;
  const bool unreachable = this->state == SessionState::kUnreachable;
  if (unreachable && this->runs.empty()) {
    this->Probe();
    return;
  }
  if (unreachable || this->state == SessionState::kClaiming) {
    this->Poll(base::Duration{0}, unreachable);
    return;
  }
  if (this->runs.empty() && this->seen_end == this->acked_end) return;
  this->Poll(this->PollWait(), false);
}

// Asks without a token whether the endpoint can be reached. After a partition
// its holder on the other side may be alive; the claim waits until that one's
// heartbeats had time to arrive.
void EndpointSession::Probe() {
  if (this->probe_open) return;
  this->probe_open = true;
  PollOrder order;
  order.target = this->Target(this->parts.settings.answer_time);
  order.target.fence = 0;
  this->parts.orders.Poll(
      order, [this, living = this->alive](const PollReply& reply) {
        if (!*living) return;
        this->probe_open = false;
        if (this->state != SessionState::kUnreachable) return;
        if (reply.order.outcome == OrderOutcome::kUnanswered) {
          this->OnPollFailed(reply.order);
          return;
        }
        this->SetState(SessionState::kClaiming, "endpoint answers again");
        this->failures = 0;
        this->poll_timer.StartOnce(kClaimDelay, [this] { this->PollAgain(); });
      });
}

void EndpointSession::OnPollReply(const PollOrder& order,
                                  const PollReply& reply) {
  if (!this->CheckIncarnation(reply.order.born_ms)) {
    this->PollAgain();
    return;
  }
  const bool newest = reply.order.clock_ms >= this->clock_ms;
  this->NoteClock(reply.order);
  switch (reply.order.outcome) {
    case OrderOutcome::kAccepted:
      this->acked_end = std::max(this->acked_end, order.acked_end);
      this->TakeEnds(reply);
      if (newest) this->TakeRunning(order, reply);
      this->OnPollAccepted(order, reply);
      return;
    case OrderOutcome::kFenced:
      if (order.target.fence == this->fence) {
        this->OnFenced(order.target.fence);
      } else {
        this->PollAgain();
      }
      return;
    case OrderOutcome::kWrongInstance:
      this->LoseAll("another incarnation answers");
      this->SetState(SessionState::kClaiming, "another incarnation answers");
      this->poll_timer.StartOnce(kLongestProbe, [this] { this->PollAgain(); });
      return;
    default:
      this->OnPollFailed(reply.order);
      return;
  }
}

void EndpointSession::OnPollAccepted(const PollOrder& order, const PollReply&) {
  if (this->state == SessionState::kFencedOff) return;
  this->failures = 0;
  this->fence_raises = 0;
  this->lapse_timer.Stop();
  if (order.target.fence == this->fence) {
    this->recheck_due = false;
    if (this->state != SessionState::kReady) {
      this->SetState(SessionState::kReady, "poll was answered");
    }
  }
  this->on_change();
  // Where an answer was lost, an older poll may be lost with it; ends must not
  // wait until it times out.
  if (order.wait <= base::Duration{0}) {
    ++this->poll_generation;
    this->open_polls = 0;
  }
  this->PollAgain();
}

void EndpointSession::OnPollFailed(const OrderReply& reply) {
  this->recheck_due = false;
  ++this->failures;
  this->parts.metrics.Count("runs.poll_failures");
  if (this->failures < kMostPollFailures) {
    this->Recheck();
    return;
  }
  if (this->state != SessionState::kUnreachable) {
    this->SetState(SessionState::kUnreachable, reply.cause.c_str());
    const base::Duration left =
        std::max(base::Duration{0}, this->lapse - this->parts.clock.Now());
    this->lapse_timer.StartOnce(
        left, [this] { this->LoseAll("lease is over, endpoint is silent"); });
    this->on_change();
  }
  const base::Duration pause = std::min(
      kLongestProbe, kFirstProbe * (1 << std::min(this->failures - 2, 8)));
  this->poll_timer.StartOnce(pause, [this] { this->PollAgain(); });
}

void EndpointSession::OnFenced(std::uint64_t order_fence) {
  if (this->state == SessionState::kClaiming &&
      this->fence_raises < kMostFenceRaises) {
    this->fence = this->parts.tokens.Raise(
        this->fence, kFirstFenceRaiseMs << this->fence_raises);
    ++this->fence_raises;
    this->PollAgain();
    return;
  }
  if (this->state == SessionState::kFencedOff) return;
  kLog.Warning(
      "Another process holds the endpoint. endpoint={} fence={} runs={}",
      this->entry.id, order_fence, this->runs.size());
  this->SetState(SessionState::kFencedOff, "higher token");
  const base::Duration left =
      std::max(base::Duration{0}, this->lapse - this->parts.clock.Now());
  this->lapse_timer.StartOnce(left, [this] { this->LoseAll("fenced off"); });
  this->on_change();
}

void EndpointSession::TakeEnds(const PollReply& reply) {
  for (const EndedRow& row : reply.ended) {
    if (row.number <= this->seen_end) continue;
    this->seen_end = row.number;
    const RunKey key{row.task, row.run};
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) continue;
    const base::TimePoint now = this->parts.clock.Now();
    const RunOutcome outcome = OutcomeOf(row.kind);
    if (outcome == RunOutcome::kDone && !found->second.foreign) {
      this->health.RecordDone(found->second.order.estimate,
                              now - found->second.started);
    }
    if (outcome == RunOutcome::kFailed) this->health.RecordFailure(now);
    this->End(key, outcome);
  }
}

void EndpointSession::TakeRunning(const PollOrder& order,
                                  const PollReply& reply) {
  std::map<RunKey, int> present;
  for (const RunningRow& row : reply.running) {
    const RunKey key{row.task, row.run};
    present[key] = row.percent;
    if (!this->runs.contains(key)) this->AddForeign(row);
  }
  std::vector<std::pair<RunKey, RunOutcome>> gone;
  for (auto& [key, run] : this->runs) {
    if (present.contains(key)) {
      if (run.state == RunState::kStarting) {
        run.start_answered = true;
        run.state = RunState::kRunning;
        run.timer->Stop();
      }
      continue;
    }
    // A start under a lower token cannot be carried out any more.
    if (!run.start_answered && !run.foreign && run.fence < order.target.fence) {
      gone.emplace_back(key, run.overtaken_by_restart ? RunOutcome::kLost
                                                      : RunOutcome::kNotRun);
      continue;
    }
    const std::int64_t stop_ms =
        this->parts.settings.stop_time / milliseconds(1);
    if (run.state == RunState::kStopping && run.stop_clock_ms != 0 &&
        reply.order.clock_ms > run.stop_clock_ms + stop_ms) {
      gone.emplace_back(key, RunOutcome::kStopped);
    }
  }
  for (const auto& [key, outcome] : gone) this->End(key, outcome);
  for (const RunningRow& row : reply.running) this->TakeProgress(row);
}

void EndpointSession::TakeProgress(const RunningRow& row) {
  const auto found = this->runs.find({row.task, row.run});
  if (found == this->runs.end()) return;
  Run& run = found->second;
  if (run.foreign || run.state != RunState::kRunning) return;
  const base::TimePoint now = this->parts.clock.Now();
  const auto heading_for = run.progress.Take(row.percent, now);
  if (!heading_for) return;
  const base::Duration expected = *heading_for;
  if (run.started + expected <= run.useful_until) return;
  kLog.Info(
      "Run is overdue. endpoint={} task={} run={} percent={} age_ms={} "
      "expected_ms={}",
      this->entry.id, row.task, row.run, row.percent,
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
  const base::TimePoint now = this->parts.clock.Now();
  const bool watch = std::any_of(
      this->runs.begin(), this->runs.end(), [now](const auto& item) {
        return item.second.order.estimate >= kLongEstimate &&
               now - item.second.started < kWatchTime;
      });
  return watch ? std::min(kWatchWait, this->parts.settings.poll_wait)
               : this->parts.settings.poll_wait;
}

void EndpointSession::AddForeign(const RunningRow& row) {
  const RunKey key{row.task, row.run};
  kLog.Info("Run of another process is stopped. endpoint={} task={} run={}",
            this->entry.id, row.task, row.run);
  Run& run = this->runs[key];
  run.foreign = true;
  run.started = this->parts.clock.Now();
  run.start_answered = true;
  run.state = RunState::kStopping;
  run.handlers.on_end = [](RunOutcome) {};
  this->SendStop(key);
}

bool EndpointSession::CheckIncarnation(std::int64_t told_born_ms) {
  if (told_born_ms == 0 || told_born_ms == this->born_ms) return true;
  const bool first = this->born_ms == 0;
  if (told_born_ms < this->born_ms) return false;
  this->born_ms = told_born_ms;
  if (first) return true;
  this->OnRestart();
  return false;
}

void EndpointSession::OnRestart() {
  this->clock_ms = 0;
  this->seen_end = 0;
  this->acked_end = 0;
  this->SetState(SessionState::kClaiming, "endpoint has restarted");
  std::vector<RunKey> lost;
  for (auto& [key, run] : this->runs) {
    if (run.foreign || run.start_answered) {
      lost.push_back(key);
    } else {
      run.overtaken_by_restart = true;
    }
  }
  if (!lost.empty()) {
    kLog.Warning("Runs are lost. endpoint={} runs={} cause=\"{}\"",
                 this->entry.id, lost.size(), "endpoint has restarted");
  }
  for (const RunKey& key : lost) this->End(key, RunOutcome::kLost);
  this->fence = this->parts.tokens.Next(this->parts.clock.WallMilliseconds(),
                                        this->fence);
  // Polls under way were for the incarnation that is gone.
  ++this->poll_generation;
  this->open_polls = 0;
  this->Poll(base::Duration{0}, false);
  this->on_change();
}

void EndpointSession::NoteClock(const OrderReply& reply) {
  if (reply.clock_ms == 0 || reply.clock_ms < this->clock_ms) return;
  this->clock_ms = reply.clock_ms;
  this->clock_read = this->parts.clock.Now();
}

std::int64_t EndpointSession::LeaseUntil() const {
  const base::Duration age = this->parts.clock.Now() - this->clock_read;
  return this->clock_ms + (age + this->parts.settings.lease) / milliseconds(1);
}

OrderTarget EndpointSession::Target(base::Duration timeout) const {
  return {this->entry.address, this->entry.id, this->fence, timeout};
}

void EndpointSession::End(const RunKey& key, RunOutcome outcome) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  const auto on_end = std::move(found->second.handlers.on_end);
  this->runs.erase(found);
  this->parts.metrics.Count(std::string("runs.ended.") + runs::NameOf(outcome));
  on_end(outcome);
}

void EndpointSession::LoseAll(const char* cause) {
  if (this->runs.empty()) return;
  kLog.Warning("Runs are lost. endpoint={} runs={} cause=\"{}\"",
               this->entry.id, this->runs.size(), cause);
  std::vector<RunKey> keys;
  for (const auto& [key, run] : this->runs) keys.push_back(key);
  for (const RunKey& key : keys) this->End(key, RunOutcome::kLost);
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
