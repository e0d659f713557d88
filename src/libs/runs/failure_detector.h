#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hawthornwheel::runs {

struct RunSettings;
enum class OrderOutcome;

/// Judges from the answers to the orders of one session whether its endpoint is
/// silent, and whether orders to it are lost. A poll that is overdue is
/// repeated before it times out. The endpoint is silent after several polls in
/// a row without an answer, unless it has answered a later order.
class FailureDetector {
 public:
  /// What the session has to send.
  enum class Action {
    kNone,
    /// Nothing: the endpoint is silent.
    kEndUse,
    /// A poll is needed that does not wait.
    kRepeat,
    /// A poll is needed beside those that wait.
    kCover,
  };

  /// State of a poll when it was answered or has failed.
  enum class PollState {
    kInFlight,
    /// In flight, and repeated since.
    kOverdue,
    /// An answer to a later poll has replaced it, or the endpoint was silent or
    /// has restarted since.
    kForgotten,
  };

  /// References must outlive the detector. `endpoint` is the id for logs.
  FailureDetector(const base::Clock& clock, const RunSettings& settings,
                  std::string endpoint);

  /// Records that a poll is sent that waits up to `wait`. Returns its number.
  std::uint64_t RecordPoll(base::Duration wait);

  /// Records that a poll was answered or has failed. Returns its state before.
  PollState RecordReply(std::uint64_t poll);

  /// Records that a poll that was sent at `sent` was refused or has failed.
  void RecordFailure(PollState state, base::TimePoint sent);

  /// Returns whether the endpoint is silent: so many polls in a row have no
  /// answer, and one of them has failed.
  bool HasTooManyMisses() const;

  /// Records the outcome of an order that was sent at `sent` and is no poll.
  void RecordOutcome(base::TimePoint sent, OrderOutcome outcome);

  /// Records that the endpoint has made an answer at `time` or later. Does not
  /// end a silence.
  void RecordAnswer(base::TimePoint time);

  /// Records that an order was lost.
  void RecordLoss();

  /// Drops the polls that were sent before this one.
  void ForgetPollsBefore(std::uint64_t poll);
  void ForgetPolls() { this->polls.clear(); }

  /// Evaluates the polls that are overdue by now. `is_covering` tells whether a
  /// poll may be sent beside those that wait for a run to end, and
  /// `recheck_due` whether the answer to a poll without a wait is needed.
  Action Check(bool is_covering, bool recheck_due);

  /// Returns the time until the next Check(); nothing while no poll is awaited.
  std::optional<base::Duration> TimeToCheck(bool is_covering) const;

  /// Returns whether orders were lost in the last seconds.
  bool IsLossy() const;

  /// Returns whether a poll in flight will show a restart of the endpoint.
  bool IsAwaitingList() const;

  std::size_t PollsInFlight() const { return this->polls.size(); }

  bool IsSilent() const { return this->silent; }
  /// Counts the endpoint as silent.
  void BeginSilence();
  /// The endpoint answers again.
  void EndSilence();

  /// Returns the pause before a silent endpoint is polled again. It grows with
  /// each call.
  base::Duration NextPause();

 private:
  /// Poll in flight.
  struct SentPoll {
    std::uint64_t number = 0;
    base::TimePoint sent;
    /// Time from which it is overdue.
    base::TimePoint due;
    bool waits = false;
    bool overdue = false;
  };

  /// Poll without an answer.
  struct Miss {
    base::TimePoint sent;
    int weight = 1;
  };

  std::optional<base::TimePoint> CoverTime() const;
  bool HasPromptPoll() const;
  void AddOverdue(base::TimePoint sent);

  const base::Clock& clock;
  const RunSettings& settings;
  std::string endpoint;
  /// By the time at which they were sent.
  std::vector<SentPoll> polls;
  std::uint64_t last_number = 0;
  base::TimePoint last_poll;
  /// Latest time at which the endpoint is known to have made an answer.
  base::TimePoint last_answer;
  /// Polls without an answer that were not sent before `last_answer`.
  std::vector<Miss> misses;
  /// Whether one of them has failed, so that its answer is no longer awaited.
  bool has_failure = false;
  std::optional<base::TimePoint> last_loss;
  bool silent = false;
  /// Pauses since the silence began.
  int pauses = 0;
};

}  // namespace hawthornwheel::runs
