#pragma once

#include <cstdint>

#include "base/clock.h"

namespace hawthornwheel::runs {

struct OrderReply;
struct PollOrder;
struct PollReply;
struct SentOrder;

/// Tracks the present incarnation of one endpoint and what it has shown of
/// itself: its clock, its lists of runs, the ends that it reported, and whether
/// it has accepted a fencing token. Evidence of an earlier incarnation does not
/// count, and a restart clears what is known.
class IncarnationTracker {
 public:
  /// What an answer says about the incarnation that sent it.
  enum class Report {
    /// It is the present one, or the answer names none.
    kPresent,
    /// It is the first one that is known.
    kFirst,
    /// The endpoint has restarted; this incarnation is now the present one.
    kRestart,
    /// It is an earlier one, so the answer is out of date.
    kEarlier,
  };

  /// Tracks an endpoint of which nothing is known. `clock` must outlive the
  /// tracker.
  explicit IncarnationTracker(const base::Clock& clock);

  /// Returns the start of the present incarnation in Unix milliseconds; 0 until
  /// known.
  std::int64_t StartMs() const { return this->start_ms; }

  /// Returns what is known now, for an order that is sent now. `fence` is the
  /// token of the session and `start_number` the number of its latest start
  /// order.
  SentOrder Snapshot(std::uint64_t fence, std::uint64_t start_number) const;

  /// Returns whether the present incarnation was known when the order was sent.
  bool WasSentToPresent(const SentOrder& sent) const;

  /// Evaluates the incarnation that an answer names, by its start in Unix
  /// milliseconds; 0 when it names none.
  Report Observe(std::int64_t reported_start_ms);

  /// Returns whether the answer to an order shows that the endpoint has
  /// restarted with a clock that was set back. The incarnation that it names is
  /// then the present one.
  bool ObserveSetBack(const SentOrder& sent, std::int64_t reported_start_ms);

  /// Returns whether the endpoint's clock in an answer shows a restart. The
  /// present incarnation stays as it is, since the answer names no other.
  bool ShowsRestart(const SentOrder& sent, const OrderReply& reply) const;

  /// Records the endpoint's clock, if the present incarnation has answered and
  /// its clock was not read at a later time yet.
  void RecordClock(const SentOrder& sent, const OrderReply& reply);

  /// Returns whether the clock of the present incarnation was read.
  bool HasClock() const { return this->clock_ms != 0; }

  /// Returns the expiry of a lease that is granted now, in milliseconds on the
  /// endpoint's clock.
  std::int64_t LeaseUntil(base::Duration lease) const;

  /// Records the clock of a list of runs. Returns whether no list of the
  /// present incarnation was made later; only then the list shows which runs
  /// are in progress.
  bool RecordList(const OrderReply& reply);

  /// Records the earliest local time at which the endpoint can have made a list
  /// of runs.
  void RecordListTime(const PollOrder& order, const SentOrder& sent,
                      const PollReply& reply);

  /// Returns whether a list of runs is so recent that the endpoint cannot have
  /// restarted since.
  bool HasRecentList() const;

  /// Records a reported end. Returns whether it was not seen before.
  bool RecordEnd(std::uint64_t sequence_number);

  /// Returns the highest sequence number of an end that was recorded.
  std::uint64_t SeenEndSeq() const { return this->seen_end_seq; }

  /// Records that the endpoint accepted a poll which acknowledged the ends up
  /// to `end_seq`.
  void RecordAcknowledgement(const SentOrder& sent, std::uint64_t end_seq);

  /// Returns whether all ends that were recorded are acknowledged.
  bool AllEndsAcknowledged() const {
    return this->seen_end_seq == this->acked_end_seq;
  }

  /// Records that the present incarnation has accepted the token of the claim.
  void ConfirmToken() { this->token_confirmed = true; }
  /// Records that the claim was replaced, or that the endpoint may have
  /// restarted.
  void DoubtToken() { this->token_confirmed = false; }
  bool TokenConfirmed() const { return this->token_confirmed; }

 private:
  void Restart(std::int64_t new_start_ms);

  const base::Clock& clock;
  /// Start of the present incarnation in Unix milliseconds; 0 until known.
  std::int64_t start_ms = 0;
  bool token_confirmed = false;
  /// Latest reading of the endpoint's clock in milliseconds, and the local time
  /// of that reading.
  std::int64_t clock_ms = 0;
  base::TimePoint clock_read;
  /// Endpoint's clock in milliseconds at its newest list of runs.
  std::int64_t list_clock_ms = 0;
  /// Earliest time at which the endpoint can have made the last list of runs.
  base::TimePoint last_list;
  /// Highest sequence number of an end that was processed.
  std::uint64_t seen_end_seq = 0;
  /// Highest sequence number that an accepted poll has acknowledged.
  std::uint64_t acked_end_seq = 0;
};

}  // namespace hawthornwheel::runs
