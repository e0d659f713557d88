#include "runs/failure_detector.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>

#include "runs/endpoint_orders.h"
#include "runs/run_settings.h"
#include "support/manual_clock.h"

namespace hawthornwheel::testing {
namespace {

using runs::FailureDetector;
using runs::OrderOutcome;
using std::chrono::milliseconds;
using Action = runs::FailureDetector::Action;
using PollState = runs::FailureDetector::PollState;

constexpr base::Duration kNoWait{0};

class FailureDetectorTest : public ::testing::Test {
 protected:
  // Sends and repeats polls as a session does for `span`; none is answered.
  // Returns whether the endpoint is silent.
  bool RunWithoutAnswers(base::Duration span) {
    const base::TimePoint end = this->clock.Now() + span;
    while (this->clock.Now() < end) {
      this->clock.Advance(milliseconds(1));
      this->ReportTimeouts();
      const Action action = this->Check();
      if (action == Action::kRepeat) this->Send(kNoWait);
      if (action == Action::kEndUse) return true;
    }
    return false;
  }

  // Evaluates the polls of a session that sends no cover polls.
  Action Check() { return this->detector.Check(false, false); }

  std::uint64_t Send(base::Duration wait) {
    const auto poll = this->detector.RecordPoll(wait);
    const base::TimePoint now = this->clock.Now();
    this->timeouts[poll] = {now, now + wait + this->settings.answer_time};
    return poll;
  }

  void ReportTimeouts() {
    std::erase_if(this->timeouts, [this](const auto& item) {
      const auto& [poll, times] = item;
      if (times.second > this->clock.Now()) return false;
      const PollState state = this->detector.RecordReply(poll);
      if (state != PollState::kForgotten) {
        this->detector.RecordFailure(state, times.first);
      }
      return true;
    });
  }

  void Fail() {
    this->detector.RecordFailure(PollState::kInFlight, this->clock.Now());
  }

  ManualClock clock;
  runs::RunSettings settings;
  FailureDetector detector{this->clock, this->settings, "e"};
  /// Times at which polls were sent and time out, by number.
  std::map<std::uint64_t, std::pair<base::TimePoint, base::TimePoint>> timeouts;
};

TEST_F(FailureDetectorTest, NothingIsDueWithoutPolls) {
  EXPECT_FALSE(this->detector.TimeToCheck(true));
  EXPECT_EQ(this->Check(), Action::kNone);
}

TEST_F(FailureDetectorTest, AnsweredPollIsNotRepeated) {
  const auto poll = this->detector.RecordPoll(this->settings.poll_wait);
  this->clock.Advance(this->settings.poll_wait + milliseconds(1));
  EXPECT_EQ(this->detector.RecordReply(poll), PollState::kInFlight);
  this->clock.Advance(milliseconds(500));
  EXPECT_EQ(this->Check(), Action::kNone);
  EXPECT_FALSE(this->detector.IsLossy());
}

// Guards against ends that are reported late: a lost poll was noticed only when
// it timed out.
TEST_F(FailureDetectorTest, LostPollIsRepeatedBeforeItsTimeout) {
  const auto poll = this->detector.RecordPoll(this->settings.poll_wait);
  this->clock.Advance(this->settings.poll_wait + milliseconds(49));
  EXPECT_EQ(this->Check(), Action::kNone);
  this->clock.Advance(milliseconds(1));
  EXPECT_EQ(this->Check(), Action::kRepeat);
  EXPECT_EQ(this->Check(), Action::kNone);
  EXPECT_EQ(this->detector.RecordReply(poll), PollState::kOverdue);
}

// Guards against a silent endpoint that keeps getting tasks. The last answer
// may be a whole wait older than the silence, which leaves 0.55 s of 0.8 s.
TEST_F(FailureDetectorTest, SilenceIsFoundInHalfASecond) {
  this->Send(this->settings.poll_wait);
  const base::TimePoint begin = this->clock.Now();
  EXPECT_TRUE(this->RunWithoutAnswers(milliseconds(800)));
  EXPECT_EQ(this->clock.Now() - begin, milliseconds(525));
}

// Guards against a sound endpoint that is taken out of use: three polls in a
// row are lost.
TEST_F(FailureDetectorTest, OneAnswerInFourKeepsTheEndpoint) {
  for (int round = 0; round < 10; ++round) {
    this->Send(kNoWait);
    EXPECT_FALSE(this->RunWithoutAnswers(milliseconds(280)));
    this->detector.RecordAnswer(this->clock.Now());
    this->clock.Advance(milliseconds(1));
  }
}

// As above; the answer to a start shows as much as that to a poll.
TEST_F(FailureDetectorTest, AnswersOfOtherOrdersCount) {
  this->Send(kNoWait);
  for (int round = 0; round < 20; ++round) {
    EXPECT_FALSE(this->RunWithoutAnswers(milliseconds(170)));
    this->detector.RecordOutcome(this->clock.Now(), OrderOutcome::kAccepted);
  }
}

// Guards against a silent endpoint that stays in use: the answer to an order
// that was sent before arrives late, or the endpoint sheds all load.
TEST_F(FailureDetectorTest, OtherAnswersDoNotShowThatTheEndpointIsAlive) {
  const base::TimePoint begin = this->clock.Now();
  this->clock.Advance(milliseconds(1));
  this->Send(kNoWait);
  EXPECT_FALSE(this->RunWithoutAnswers(milliseconds(280)));
  this->detector.RecordOutcome(begin, OrderOutcome::kAccepted);
  this->detector.RecordOutcome(this->clock.Now(), OrderOutcome::kOverloaded);
  this->detector.RecordOutcome(this->clock.Now(), OrderOutcome::kUnanswered);
  EXPECT_TRUE(this->RunWithoutAnswers(milliseconds(100)));
}

// Guards against an endpoint that is taken out of use since its answers take
// longer than usual: none of the polls has failed yet.
TEST_F(FailureDetectorTest, OverduePollsAreNoSilenceBeforeOneFails) {
  this->settings.answer_time = milliseconds(150);
  for (int i = 0; i < 10; ++i) {
    this->detector.RecordPoll(kNoWait);
    this->clock.Advance(milliseconds(75));
    EXPECT_EQ(this->Check(), Action::kRepeat);
  }
  this->detector.RecordFailure(PollState::kOverdue, this->clock.Now());
  EXPECT_EQ(this->Check(), Action::kEndUse);
}

TEST_F(FailureDetectorTest, TwoFailedPollsInARowAreSilence) {
  this->Fail();
  EXPECT_FALSE(this->detector.HasTooManyMisses());
  this->Fail();
  EXPECT_TRUE(this->detector.HasTooManyMisses());
}

TEST_F(FailureDetectorTest, TwoFailedPollsWithAnAnswerBetweenAreNoSilence) {
  this->Fail();
  this->clock.Advance(milliseconds(1));
  this->detector.RecordAnswer(this->clock.Now());
  this->Fail();
  EXPECT_FALSE(this->detector.HasTooManyMisses());
}

// Guards against a sound endpoint that is taken out of use after a gap of some
// milliseconds, in which several polls were sent.
TEST_F(FailureDetectorTest, PollsSentTogetherCountOnce) {
  for (int i = 0; i < 10; ++i) this->detector.RecordPoll(kNoWait);
  this->clock.Advance(this->settings.answer_time / 2);
  EXPECT_EQ(this->Check(), Action::kRepeat);
}

// Guards against twice the polls after one loss: a poll that does not wait is
// in flight already.
TEST_F(FailureDetectorTest, PollInFlightIsNotRepeated) {
  this->detector.RecordPoll(kNoWait);
  this->clock.Advance(this->settings.answer_time / 2 - milliseconds(1));
  this->detector.RecordPoll(kNoWait);
  this->clock.Advance(milliseconds(1));
  EXPECT_EQ(this->Check(), Action::kNone);
}

// Guards against ends that are reported late while orders are lost: the only
// poll that waits may be lost.
TEST_F(FailureDetectorTest, PollsOverlapOnlyWhileOrdersAreLost) {
  this->detector.RecordPoll(this->settings.poll_wait);
  this->clock.Advance(milliseconds(100));
  EXPECT_EQ(this->detector.Check(true, false), Action::kNone);
  this->detector.RecordLoss();
  EXPECT_EQ(this->detector.Check(false, false), Action::kNone);
  EXPECT_EQ(this->detector.Check(true, false), Action::kCover);
  this->detector.RecordPoll(this->settings.poll_wait);
  EXPECT_EQ(this->detector.Check(true, false), Action::kNone);
  EXPECT_EQ(this->detector.TimeToCheck(true), milliseconds(100));
  this->clock.Advance(milliseconds(100));
  EXPECT_EQ(this->detector.Check(true, false), Action::kCover);
  this->detector.RecordPoll(this->settings.poll_wait);
  this->clock.Advance(milliseconds(229));
  this->detector.RecordAnswer(this->clock.Now());
  this->detector.ForgetPolls();
  this->clock.Advance(milliseconds(1'671));
  this->detector.RecordPoll(this->settings.poll_wait);
  this->clock.Advance(milliseconds(100));
  EXPECT_EQ(this->detector.Check(true, false), Action::kNone);
}

// Guards against a timer that is due at once again and again: a poll without a
// wait is in flight for longer than the interval of the cover polls.
TEST_F(FailureDetectorTest, NoCheckIsDueWhileNothingCanBeSent) {
  this->settings.answer_time = milliseconds(600);
  this->detector.RecordLoss();
  this->detector.RecordPoll(kNoWait);
  this->clock.Advance(milliseconds(150));
  EXPECT_EQ(this->detector.Check(true, false), Action::kNone);
  EXPECT_EQ(this->detector.TimeToCheck(true), milliseconds(150));
}

// A cover poll that is lost needs no repeat when a later order was answered and
// another poll waits, unless the outcome of a start is open.
TEST_F(FailureDetectorTest, LostPollIsNotRepeatedAfterLaterAnswer) {
  for (const bool recheck_due : {false, true}) {
    this->detector.ForgetPolls();
    this->detector.RecordPoll(this->settings.poll_wait);
    this->clock.Advance(milliseconds(100));
    this->detector.RecordPoll(this->settings.poll_wait);
    this->detector.RecordAnswer(this->clock.Now());
    this->clock.Advance(milliseconds(230));
    EXPECT_EQ(this->detector.Check(false, recheck_due),
              recheck_due ? Action::kRepeat : Action::kNone);
  }
}

TEST_F(FailureDetectorTest, LaterPollsStayInFlight) {
  const auto first = this->detector.RecordPoll(this->settings.poll_wait);
  const auto second = this->detector.RecordPoll(kNoWait);
  const auto third = this->detector.RecordPoll(kNoWait);
  this->detector.ForgetPollsBefore(second);
  EXPECT_EQ(this->detector.RecordReply(first), PollState::kForgotten);
  EXPECT_EQ(this->detector.RecordReply(third), PollState::kInFlight);
  EXPECT_EQ(this->detector.PollsInFlight(), 1U);
}

// Guards against a start at an endpoint that has restarted: the list that is on
// its way may have been made before.
TEST_F(FailureDetectorTest, OldPollWithoutWaitDoesNotShowRestart) {
  this->detector.RecordPoll(kNoWait);
  EXPECT_TRUE(this->detector.IsAwaitingList());
  this->clock.Advance(milliseconds(60));
  EXPECT_FALSE(this->detector.IsAwaitingList());
  this->detector.RecordPoll(this->settings.poll_wait);
  EXPECT_TRUE(this->detector.IsAwaitingList());
}

// Guards against a lease that is renewed after its runs were given up: only the
// session ends a silence, when a poll under its token is accepted.
TEST_F(FailureDetectorTest, AnswerDoesNotEndSilence) {
  this->detector.RecordPoll(kNoWait);
  this->detector.BeginSilence();
  EXPECT_EQ(this->detector.PollsInFlight(), 0U);
  this->detector.RecordAnswer(this->clock.Now());
  EXPECT_TRUE(this->detector.IsSilent());
  this->detector.EndSilence();
  EXPECT_FALSE(this->detector.IsSilent());
}

// Guards against an endpoint that is closed again after one lost poll: the
// polls that failed while it was silent were counted after its return.
TEST_F(FailureDetectorTest, FailuresDuringSilenceDoNotCountAfterIt) {
  this->detector.BeginSilence();
  for (int i = 0; i < 4; ++i) {
    const base::TimePoint sent = this->clock.Now();
    const auto poll = this->detector.RecordPoll(kNoWait);
    this->clock.Advance(milliseconds(150));
    this->detector.RecordFailure(this->detector.RecordReply(poll), sent);
  }
  EXPECT_FALSE(this->detector.HasTooManyMisses());
  this->detector.EndSilence();
  this->detector.RecordPoll(kNoWait);
  this->clock.Advance(milliseconds(80));
  EXPECT_EQ(this->detector.Check(false, false), Action::kRepeat);
}

TEST_F(FailureDetectorTest, PausesGrowUntilTheSilenceEnds) {
  this->detector.BeginSilence();
  for (const int pause_ms : {250, 250, 500, 500, 1'000, 1'000, 2'000, 2'000}) {
    EXPECT_EQ(this->detector.NextPause(), milliseconds(pause_ms));
  }
  EXPECT_EQ(this->detector.NextPause(), milliseconds(2'000));
  this->detector.EndSilence();
  this->detector.BeginSilence();
  EXPECT_EQ(this->detector.NextPause(), milliseconds(250));
}

}  // namespace
}  // namespace hawthornwheel::testing
