#include "runs/failure_detector.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

#include "base/logger.h"
#include "runs/endpoint_orders.h"
#include "runs/run_settings.h"

namespace hawthornwheel::runs {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("endpoint");

// Polls in a row without an answer after which the endpoint is silent. With
// three orders in ten lost, four in a row are lost with the probability 0.008.
constexpr int kMaxMisses = 4;
// Weight of a poll that was refused or whose connection has ended: two in a row
// are enough, since no answer can be expected any more.
constexpr int kFailureWeight = 2;
// A poll is overdue after these shares of the answer time, 150 ms by default;
// answers take less than 5 ms. So a silent endpoint is found 525 ms after its
// last answer.
constexpr int kWaitingShare = 3;
constexpr int kPromptShare = 2;
// Time after its sending in which a poll without a wait lists the runs as they
// are now. A restart of the endpoint takes longer.
constexpr base::Duration kListValidity = milliseconds(50);
// Time after a loss in which further losses are expected.
constexpr base::Duration kLossMemory = milliseconds(2'000);
// Interval of the polls while losses are expected. They wait at the endpoint
// side by side, so that several answers report the end of a run.
constexpr base::Duration kCoverInterval = milliseconds(100);
// Pauses before a silent endpoint is polled again.
constexpr base::Duration kMinPause = milliseconds(250);
constexpr base::Duration kMaxPause = milliseconds(2'000);
constexpr int kMaxPauseDoublings = 8;

}  // namespace

FailureDetector::FailureDetector(const base::Clock& clock,
                                 const RunSettings& settings,
                                 std::string endpoint)
    : clock(clock), settings(settings), endpoint(std::move(endpoint)) {}

std::uint64_t FailureDetector::RecordPoll(base::Duration wait) {
  const base::TimePoint now = this->clock.Now();
  const bool waits = wait > base::Duration{0};
  const base::Duration answer_time =
      this->settings.answer_time / (waits ? kWaitingShare : kPromptShare);
  this->last_poll = now;
  this->polls.push_back(
      {++this->last_number, now, now + wait + answer_time, waits, false});
  return this->last_number;
}

FailureDetector::PollState FailureDetector::RecordReply(std::uint64_t poll) {
  const auto found = std::find_if(
      this->polls.begin(), this->polls.end(),
      [poll](const SentPoll& item) { return item.number == poll; });
  if (found == this->polls.end()) return PollState::kForgotten;
  const bool overdue = found->overdue;
  this->polls.erase(found);
  return overdue ? PollState::kOverdue : PollState::kInFlight;
}

void FailureDetector::RecordFailure(PollState state, base::TimePoint sent) {
  this->RecordLoss();
  // The polls of a silent endpoint say nothing about the time after its return.
  if (this->silent) return;
  // A poll that was sent at the time of the last answer may have followed it.
  if (sent < this->last_answer) return;
  this->has_failure = true;
  if (state != PollState::kOverdue) {
    this->misses.push_back({sent, kFailureWeight});
  }
}

void FailureDetector::RecordOutcome(base::TimePoint sent,
                                    OrderOutcome outcome) {
  if (IsUnanswered(outcome)) {
    this->RecordLoss();
    return;
  }
  // An endpoint that sheds load or was replaced is not in use.
  if (outcome == OrderOutcome::kOverloaded ||
      outcome == OrderOutcome::kWrongInstance) {
    return;
  }
  this->RecordAnswer(sent);
}

void FailureDetector::RecordAnswer(base::TimePoint time) {
  if (this->silent) return;
  this->last_answer =
      std::max(this->last_answer, std::min(time, this->clock.Now()));
  std::erase_if(this->misses, [this](const Miss& miss) {
    return miss.sent < this->last_answer;
  });
  if (this->misses.empty()) this->has_failure = false;
}

void FailureDetector::RecordLoss() {
  if (!this->IsLossy()) {
    kLog.Info("Order has no answer. endpoint={} lossy_ms={}", this->endpoint,
              kLossMemory / milliseconds(1));
  }
  this->last_loss = this->clock.Now();
}

void FailureDetector::ForgetPollsBefore(std::uint64_t poll) {
  std::erase_if(this->polls,
                [poll](const SentPoll& item) { return item.number < poll; });
}

FailureDetector::Action FailureDetector::Check(bool is_covering,
                                               bool recheck_due) {
  if (this->silent) return Action::kNone;
  const base::TimePoint now = this->clock.Now();
  bool has_overdue = false;
  bool is_answer_missing = false;
  for (SentPoll& poll : this->polls) {
    if (poll.overdue || poll.due > now) continue;
    poll.overdue = true;
    has_overdue = true;
    this->RecordLoss();
    if (poll.sent < this->last_answer) continue;
    is_answer_missing = true;
    this->AddOverdue(poll.sent);
  }
  if (this->HasTooManyMisses()) return Action::kEndUse;
  if (has_overdue && !this->HasPromptPoll()) {
    const bool is_waiting =
        std::any_of(this->polls.begin(), this->polls.end(),
                    [](const SentPoll& poll) { return !poll.overdue; });
    if (is_answer_missing || recheck_due || !is_waiting) {
      return Action::kRepeat;
    }
  }
  const auto cover_time = this->CoverTime();
  return is_covering && cover_time && *cover_time <= now ? Action::kCover
                                                         : Action::kNone;
}

// Returns whether a poll in flight is answered at once or is overdue soon.
bool FailureDetector::HasPromptPoll() const {
  return std::any_of(
      this->polls.begin(), this->polls.end(),
      [](const SentPoll& poll) { return !poll.overdue && !poll.waits; });
}

// Polls that were sent together count once, since one short fault loses all.
void FailureDetector::AddOverdue(base::TimePoint sent) {
  const bool counted = std::any_of(this->misses.begin(), this->misses.end(),
                                   [this, sent](const Miss& miss) {
                                     return std::chrono::abs(miss.sent - sent) <
                                            this->settings.answer_time / 4;
                                   });
  if (!counted) this->misses.push_back({sent, 1});
}

bool FailureDetector::HasTooManyMisses() const {
  const int weight = std::accumulate(
      this->misses.begin(), this->misses.end(), 0,
      [](int sum, const Miss& miss) { return sum + miss.weight; });
  return this->has_failure && weight >= kMaxMisses;
}

bool FailureDetector::IsAwaitingList() const {
  const base::TimePoint now = this->clock.Now();
  return std::any_of(this->polls.begin(), this->polls.end(),
                     [now](const SentPoll& poll) {
                       return poll.waits || now - poll.sent <= kListValidity;
                     });
}

std::optional<base::Duration> FailureDetector::TimeToCheck(
    bool is_covering) const {
  if (this->silent) return {};
  std::optional<base::TimePoint> next;
  for (const SentPoll& poll : this->polls) {
    if (poll.overdue) continue;
    next = next ? std::min(*next, poll.due) : poll.due;
  }
  const auto cover_time = this->CoverTime();
  if (is_covering && cover_time) {
    next = next ? std::min(*next, *cover_time) : *cover_time;
  }
  if (!next) return {};
  return std::max(base::Duration{0}, *next - this->clock.Now());
}

// Returns the time at which a further poll is due while others wait.
std::optional<base::TimePoint> FailureDetector::CoverTime() const {
  if (!this->IsLossy() || !this->misses.empty() || this->HasPromptPoll()) {
    return {};
  }
  return this->last_poll + kCoverInterval;
}

bool FailureDetector::IsLossy() const {
  return this->last_loss && this->clock.Now() - *this->last_loss < kLossMemory;
}

void FailureDetector::BeginSilence() {
  this->silent = true;
  this->has_failure = false;
  this->polls.clear();
  this->misses.clear();
}

void FailureDetector::EndSilence() {
  this->silent = false;
  this->pauses = 0;
}

base::Duration FailureDetector::NextPause() {
  // Each pause is used twice, so that the endpoint gets a poll with the
  // session's token soon after it is back, and then rejects late starts.
  const int doublings = std::min(this->pauses++ / 2, kMaxPauseDoublings);
  return std::min(kMaxPause, kMinPause * (1 << doublings));
}

}  // namespace hawthornwheel::runs
