#include "runs/incarnation_tracker.h"

#include <algorithm>
#include <chrono>

#include "runs/endpoint_orders.h"
#include "runs/sent_order.h"

namespace hawthornwheel::runs {
namespace {

using std::chrono::milliseconds;

// Clocks of endpoints may run 2% slow.
constexpr int kSlowestRatePercent = 98;
constexpr int kWholePercent = 100;
// Time after the last list of runs in which no restart of the endpoint is
// expected; a restart takes longer.
constexpr base::Duration kListValidity = milliseconds(50);

}  // namespace

IncarnationTracker::IncarnationTracker(const base::Clock& clock)
    : clock(clock), clock_read(clock.Now()), last_list(clock.Now()) {}

SentOrder IncarnationTracker::Snapshot(std::uint64_t fence,
                                       std::uint64_t start_number) const {
  return {fence, this->start_ms, start_number, this->clock.Now(),
          this->clock_ms};
}

bool IncarnationTracker::WasSentToPresent(const SentOrder& sent) const {
  return sent.incarnation_start_ms == this->start_ms;
}

IncarnationTracker::Report IncarnationTracker::Observe(
    std::int64_t reported_start_ms) {
  if (reported_start_ms == 0 || reported_start_ms == this->start_ms) {
    return Report::kPresent;
  }
  if (reported_start_ms < this->start_ms) return Report::kEarlier;
  if (this->start_ms == 0) {
    this->start_ms = reported_start_ms;
    // An earlier incarnation may have refused the claim.
    this->clock_ms = 0;
    return Report::kFirst;
  }
  this->Restart(reported_start_ms);
  return Report::kRestart;
}

bool IncarnationTracker::ObserveSetBack(const SentOrder& sent,
                                        std::int64_t reported_start_ms) {
  // The endpoint was asked after its incarnation was known, so it has restarted
  // since. Otherwise, the earlier incarnation has answered an earlier order.
  if (reported_start_ms == 0 || !this->WasSentToPresent(sent) ||
      reported_start_ms >= this->start_ms) {
    return false;
  }
  this->Restart(reported_start_ms);
  return true;
}

// The clock of an incarnation does not go back, so it answers an order with a
// time no earlier than any that was read before the order was sent.
bool IncarnationTracker::ShowsRestart(const SentOrder& sent,
                                      const OrderReply& reply) const {
  return reply.clock_ms != 0 && reply.clock_ms < sent.clock_ms &&
         this->WasSentToPresent(sent);
}

// Only a list of runs names the incarnation that answers. Any other answer may
// come from the one that was known when its order was sent.
void IncarnationTracker::RecordClock(const SentOrder& sent,
                                     const OrderReply& reply) {
  const std::int64_t answering = reply.incarnation_start_ms != 0
                                     ? reply.incarnation_start_ms
                                     : sent.incarnation_start_ms;
  if (answering != this->start_ms) return;
  if (reply.clock_ms == 0 || reply.clock_ms < this->clock_ms) return;
  this->clock_ms = reply.clock_ms;
  this->clock_read = this->clock.Now();
}

std::int64_t IncarnationTracker::LeaseUntil(base::Duration lease) const {
  // The endpoint's clock has reached this at least. A later time would let an
  // order that is carried out late extend the lease beyond its LeaseExpiry.
  const base::Duration age = (this->clock.Now() - this->clock_read) *
                             kSlowestRatePercent / kWholePercent;
  return this->clock_ms + (age + lease) / milliseconds(1);
}

bool IncarnationTracker::RecordList(const OrderReply& reply) {
  if (reply.clock_ms < this->list_clock_ms) return false;
  this->list_clock_ms = reply.clock_ms;
  return true;
}

void IncarnationTracker::RecordListTime(const PollOrder& order,
                                        const SentOrder& sent,
                                        const PollReply& reply) {
  // The endpoint waits in full unless it has ends to report.
  const base::TimePoint listed =
      reply.ended.empty() ? sent.time + order.wait : sent.time;
  this->last_list =
      std::max(this->last_list, std::min(listed, this->clock.Now()));
}

bool IncarnationTracker::HasRecentList() const {
  return this->clock.Now() - this->last_list <= kListValidity;
}

bool IncarnationTracker::RecordEnd(std::uint64_t sequence_number) {
  if (sequence_number <= this->seen_end_seq) return false;
  this->seen_end_seq = sequence_number;
  return true;
}

void IncarnationTracker::RecordAcknowledgement(const SentOrder& sent,
                                               std::uint64_t end_seq) {
  if (!this->WasSentToPresent(sent)) return;
  this->acked_end_seq = std::max(this->acked_end_seq, end_seq);
}

void IncarnationTracker::Restart(std::int64_t new_start_ms) {
  this->start_ms = new_start_ms;
  this->token_confirmed = false;
  this->clock_ms = 0;
  this->list_clock_ms = 0;
  this->seen_end_seq = 0;
  this->acked_end_seq = 0;
}

}  // namespace hawthornwheel::runs
