#include "support/model_endpoint.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hawthornwheel::testing {
namespace {

using runs::OrderOutcome;
using runs::OrderReply;
using runs::PollReply;
using runs::RunEndKind;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxLeaseMs = 1'000;
constexpr base::Duration kStopTime = milliseconds(49);
constexpr int kSlowClockPercent = 98;
constexpr int kWholePercent = 100;

}  // namespace

ModelEndpoint::ModelEndpoint(ManualClock& clock, std::string id,
                             bool slow_clock,
                             std::function<void(const RunKey&)> on_start)
    : clock(clock),
      id(std::move(id)),
      slow_clock(slow_clock),
      on_start(std::move(on_start)),
      // The clock of the first incarnation is well ahead of that of the next.
      start_time(clock.Now() - std::chrono::seconds(500)),
      up_at(clock.Now()),
      incarnation_start_ms(clock.WallMilliseconds() - 500'000) {}

std::int64_t ModelEndpoint::ClockMs() const {
  const base::Duration age = this->clock.Now() - this->start_time;
  const base::Duration shown =
      this->slow_clock ? age * kSlowClockPercent / kWholePercent : age;
  return shown / milliseconds(1) + 1;
}

base::Duration ModelEndpoint::LocalTime(std::int64_t endpoint_ms) const {
  const base::Duration shown = milliseconds(endpoint_ms);
  return this->slow_clock ? shown * kWholePercent / kSlowClockPercent : shown;
}

OrderReply ModelEndpoint::Reply(OrderOutcome outcome) const {
  OrderReply reply;
  reply.outcome = outcome;
  reply.clock_ms = this->ClockMs();
  return reply;
}

PollReply ModelEndpoint::List() const {
  PollReply reply;
  reply.order = this->Reply(OrderOutcome::kAccepted);
  reply.order.incarnation_start_ms = this->incarnation_start_ms;
  for (const auto& [key, run] : this->runs) {
    reply.running.push_back({key.first, key.second, 1});
  }
  reply.ended = this->ended;
  return reply;
}

std::int64_t ModelEndpoint::UsedCpu() const {
  std::int64_t used = 0;
  for (const auto& [key, run] : this->runs) {
    used += this->tasks.at(key.first).cpu_milli;
  }
  return used;
}

std::uint64_t ModelEndpoint::OtherRunOf(const RunKey& key) const {
  for (const auto& [other, run] : this->runs) {
    if (other.first == key.first && other.second != key.second) {
      return other.second;
    }
  }
  return 0;
}

OrderOutcome ModelEndpoint::Admit(const runs::OrderTarget& target) {
  if (target.endpoint_id != this->id) return OrderOutcome::kWrongInstance;
  if (target.fence < this->fence) return OrderOutcome::kFenced;
  this->fence = target.fence;
  return OrderOutcome::kAccepted;
}

OrderOutcome ModelEndpoint::Carry(const runs::StartOrder& order) {
  const OrderOutcome admitted = this->Admit(order.target);
  if (admitted != OrderOutcome::kAccepted) return admitted;
  const RunKey key{order.task, order.run};
  if (!this->grants_on_arrival && order.lease_until_ms <= this->ClockMs()) {
    return OrderOutcome::kExpired;
  }
  this->RenewLease(order.lease_until_ms);
  if (this->runs.contains(key)) return OrderOutcome::kAccepted;
  const auto ended_run = this->highest_ended.find(order.task);
  if (ended_run != this->highest_ended.end() &&
      order.run <= ended_run->second) {
    return OrderOutcome::kStaleRun;
  }
  this->on_start(key);
  this->runs[key].timer = this->clock.StartTimer(
      this->tasks.at(order.task).time,
      [this, key] { this->End(key, RunEndKind::kDone); });
  return OrderOutcome::kAccepted;
}

void ModelEndpoint::Start(const runs::StartOrder& order,
                          const Answer<OrderReply>& answer) {
  const OrderOutcome outcome = this->Carry(order);
  answer(this->Reply(outcome));
}

void ModelEndpoint::Stop(const runs::OrderTarget& target, const RunKey& key,
                         const Answer<OrderReply>& answer) {
  const OrderOutcome admitted = this->Admit(target);
  if (admitted == OrderOutcome::kAccepted) {
    std::uint64_t& highest = this->highest_ended[key.first];
    highest = std::max(highest, key.second);
    const auto found = this->runs.find(key);
    if (found != this->runs.end() &&
        !std::exchange(found->second.stopping, true)) {
      this->clock.CancelTimer(found->second.timer);
      found->second.timer = this->clock.StartTimer(
          kStopTime, [this, key] { this->End(key, RunEndKind::kStopped); });
    }
  }
  answer(this->Reply(admitted));
}

void ModelEndpoint::Poll(const runs::PollOrder& order,
                         const Answer<PollReply>& answer) {
  const OrderOutcome admitted = this->Admit(order.target);
  if (admitted != OrderOutcome::kAccepted) {
    PollReply reply;
    reply.order = this->Reply(admitted);
    answer(reply);
    return;
  }
  std::erase_if(this->ended, [&order](const runs::EndedRun& row) {
    return row.sequence_number <= order.acked_end_seq;
  });
  if (order.lease_until_ms != 0) this->RenewLease(order.lease_until_ms);
  if (order.wait <= base::Duration{0} || !this->ended.empty()) {
    answer(this->List());
    return;
  }
  const std::uint64_t waiter = this->next_waiter++;
  this->waiters[waiter].answer = answer;
  this->waiters[waiter].timer =
      this->clock.StartTimer(order.wait, [this, waiter] {
        const Answer<PollReply> waiting = this->waiters.at(waiter).answer;
        this->waiters.erase(waiter);
        waiting(this->List());
      });
}

void ModelEndpoint::AnswerWaiters() {
  const auto waiting = std::exchange(this->waiters, {});
  for (const auto& [number, waiter] : waiting) {
    this->clock.CancelTimer(waiter.timer);
    waiter.answer(this->List());
  }
}

void ModelEndpoint::Restart(base::Duration down, bool closes) {
  for (const auto& [key, run] : this->runs) this->clock.CancelTimer(run.timer);
  this->clock.CancelTimer(this->lease_timer);
  this->runs.clear();
  this->highest_ended.clear();
  this->ended.clear();
  this->next_end = 1;
  this->fence = 0;
  this->lease_end_ms = 0;
  this->up_at = this->clock.Now() + down;
  this->start_time = this->up_at;
  this->incarnation_start_ms =
      this->clock.WallMilliseconds() + down / milliseconds(1);
  const auto waiting = std::exchange(this->waiters, {});
  for (const auto& [number, waiter] : waiting) {
    this->clock.CancelTimer(waiter.timer);
    if (closes) waiter.answer(std::nullopt);
  }
}

void ModelEndpoint::End(const RunKey& key, RunEndKind kind) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) return;
  const RunKey ended_key = key;
  this->clock.CancelTimer(found->second.timer);
  this->runs.erase(found);
  std::uint64_t& highest = this->highest_ended[ended_key.first];
  highest = std::max(highest, ended_key.second);
  this->ended.push_back(
      {this->next_end++, ended_key.first, ended_key.second, kind});
  this->AnswerWaiters();
}

void ModelEndpoint::RenewLease(std::int64_t until_ms) {
  const std::int64_t now = this->ClockMs();
  const std::int64_t latest = now + kMaxLeaseMs;
  const std::int64_t granted =
      this->grants_on_arrival ? latest : std::min(until_ms, latest);
  this->lease_end_ms = std::max(this->lease_end_ms, granted);
  this->clock.CancelTimer(this->lease_timer);
  this->lease_timer =
      this->clock.StartTimer(this->LocalTime(this->lease_end_ms - now), [this] {
        while (!this->runs.empty()) {
          const RunKey key = this->runs.begin()->first;
          this->End(key, RunEndKind::kLeaseExpired);
        }
      });
}

}  // namespace hawthornwheel::testing
