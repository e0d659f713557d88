#include "runs/incarnation_tracker.h"

#include <gtest/gtest.h>

#include <chrono>

#include "runs/endpoint_orders.h"
#include "runs/sent_order.h"
#include "support/manual_clock.h"

namespace hawthornwheel::testing {
namespace {

using runs::IncarnationTracker;
using runs::SentOrder;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Report = IncarnationTracker::Report;

runs::OrderReply ReplyAt(std::int64_t clock_ms,
                         std::int64_t incarnation_start_ms = 0) {
  runs::OrderReply reply;
  reply.clock_ms = clock_ms;
  reply.incarnation_start_ms = incarnation_start_ms;
  return reply;
}

class IncarnationTrackerTest : public ::testing::Test {
 protected:
  SentOrder Send() { return this->tracker.Snapshot(1, 0); }

  // Leaves `tracker` with readings of every kind.
  void FillIncarnation(std::int64_t start_ms) {
    this->tracker.Observe(start_ms);
    const SentOrder sent = this->Send();
    this->tracker.RecordClock(sent, ReplyAt(1'000, start_ms));
    this->tracker.RecordList(ReplyAt(1'000, start_ms));
    this->tracker.RecordEnd(5);
    this->tracker.RecordAcknowledgement(sent, 4);
    this->tracker.ConfirmToken();
  }

  void ExpectNothingKnown() {
    EXPECT_FALSE(this->tracker.TokenConfirmed());
    EXPECT_FALSE(this->tracker.HasClock());
    EXPECT_EQ(this->tracker.SeenEndSeq(), 0u);
    EXPECT_TRUE(this->tracker.AllEndsAcknowledged());
    EXPECT_TRUE(this->tracker.RecordList(ReplyAt(1)));
  }

  ManualClock clock;
  IncarnationTracker tracker{this->clock};
};

TEST_F(IncarnationTrackerTest, AnswerWithoutIncarnationCountsForPresentOne) {
  EXPECT_EQ(this->tracker.Observe(0), Report::kPresent);
  EXPECT_EQ(this->tracker.StartMs(), 0);
  this->tracker.Observe(7);
  EXPECT_EQ(this->tracker.Observe(0), Report::kPresent);
  EXPECT_EQ(this->tracker.StartMs(), 7);
}

TEST_F(IncarnationTrackerTest, FirstIncarnationIsNoRestart) {
  EXPECT_EQ(this->tracker.Observe(7), Report::kFirst);
  EXPECT_EQ(this->tracker.Observe(7), Report::kPresent);
  EXPECT_EQ(this->tracker.StartMs(), 7);
}

// An earlier incarnation may have refused the claim, with its own clock.
TEST_F(IncarnationTrackerTest, ClockReadBeforeFirstIncarnationDoesNotCount) {
  this->tracker.RecordClock(this->Send(), ReplyAt(9'000));
  ASSERT_TRUE(this->tracker.HasClock());
  this->tracker.Observe(7);
  EXPECT_FALSE(this->tracker.HasClock());
}

TEST_F(IncarnationTrackerTest, LaterIncarnationClearsWhatIsKnown) {
  this->FillIncarnation(7);
  EXPECT_EQ(this->tracker.Observe(8), Report::kRestart);
  EXPECT_EQ(this->tracker.StartMs(), 8);
  this->ExpectNothingKnown();
}

TEST_F(IncarnationTrackerTest, EarlierIncarnationChangesNothing) {
  this->FillIncarnation(7);
  EXPECT_EQ(this->tracker.Observe(6), Report::kEarlier);
  EXPECT_EQ(this->tracker.StartMs(), 7);
  EXPECT_TRUE(this->tracker.TokenConfirmed());
  EXPECT_TRUE(this->tracker.HasClock());
  EXPECT_EQ(this->tracker.SeenEndSeq(), 5u);
  EXPECT_FALSE(this->tracker.AllEndsAcknowledged());
  EXPECT_FALSE(this->tracker.RecordList(ReplyAt(999)));
}

TEST_F(IncarnationTrackerTest, EarlierStartInAnswerToNewOrderIsRestart) {
  this->FillIncarnation(7);
  EXPECT_TRUE(this->tracker.ObserveSetBack(this->Send(), 6));
  EXPECT_EQ(this->tracker.StartMs(), 6);
  this->ExpectNothingKnown();
}

TEST_F(IncarnationTrackerTest, EarlierStartInAnswerToOldOrderIsNoRestart) {
  const SentOrder before_first = this->Send();
  this->tracker.Observe(6);
  const SentOrder before_restart = this->Send();
  this->FillIncarnation(7);
  EXPECT_FALSE(this->tracker.ObserveSetBack(before_first, 6));
  EXPECT_FALSE(this->tracker.ObserveSetBack(before_restart, 6));
  EXPECT_EQ(this->tracker.StartMs(), 7);
  EXPECT_TRUE(this->tracker.TokenConfirmed());
}

TEST_F(IncarnationTrackerTest, OnlyEarlierStartShowsClockSetBack) {
  this->FillIncarnation(7);
  const SentOrder sent = this->Send();
  for (const std::int64_t start_ms : {0, 7, 8}) {
    EXPECT_FALSE(this->tracker.ObserveSetBack(sent, start_ms)) << start_ms;
  }
  EXPECT_EQ(this->tracker.StartMs(), 7);
}

TEST_F(IncarnationTrackerTest, SnapshotHoldsWhatIsKnownWhenOrderIsSent) {
  this->FillIncarnation(7);
  const SentOrder sent = this->tracker.Snapshot(3, 2);
  EXPECT_EQ(sent.fence, 3u);
  EXPECT_EQ(sent.start_number, 2u);
  EXPECT_EQ(sent.incarnation_start_ms, 7);
  EXPECT_EQ(sent.clock_ms, 1'000);
  EXPECT_EQ(sent.time, this->clock.Now());
  EXPECT_TRUE(this->tracker.WasSentToPresent(sent));
  this->tracker.Observe(8);
  EXPECT_FALSE(this->tracker.WasSentToPresent(sent));
}

TEST_F(IncarnationTrackerTest, AnswerWithEarlierClockShowsRestart) {
  this->FillIncarnation(7);
  const SentOrder sent = this->Send();
  EXPECT_TRUE(this->tracker.ShowsRestart(sent, ReplyAt(999)));
  EXPECT_FALSE(this->tracker.ShowsRestart(sent, ReplyAt(1'000)));
  EXPECT_FALSE(this->tracker.ShowsRestart(sent, ReplyAt(0)));
  // The restart is already known.
  this->tracker.Observe(8);
  EXPECT_FALSE(this->tracker.ShowsRestart(sent, ReplyAt(999)));
}

// An answer to an earlier order may overtake the one with a later reading.
TEST_F(IncarnationTrackerTest, AnswerToEarlierOrderDoesNotShowRestart) {
  this->tracker.Observe(7);
  const SentOrder sent = this->Send();
  this->tracker.RecordClock(this->Send(), ReplyAt(1'000));
  EXPECT_FALSE(this->tracker.ShowsRestart(sent, ReplyAt(999)));
}

TEST_F(IncarnationTrackerTest, ClockOfOrderToEarlierIncarnationDoesNotCount) {
  this->tracker.Observe(7);
  const SentOrder sent = this->Send();
  this->tracker.Observe(8);
  this->tracker.RecordClock(sent, ReplyAt(9'000));
  EXPECT_FALSE(this->tracker.HasClock());
  // A list of runs names the incarnation that answers.
  this->tracker.RecordClock(sent, ReplyAt(500, 8));
  EXPECT_EQ(this->tracker.LeaseUntil(seconds(1)), 1'500);
}

TEST_F(IncarnationTrackerTest, LeaseCountsFromLatestReadingOfClock) {
  this->tracker.Observe(7);
  this->tracker.RecordClock(this->Send(), ReplyAt(1'000));
  this->clock.Advance(milliseconds(100));
  this->tracker.RecordClock(this->Send(), ReplyAt(999));
  this->tracker.RecordClock(this->Send(), ReplyAt(0));
  // The endpoint's clock may have advanced by 98 ms only.
  EXPECT_EQ(this->tracker.LeaseUntil(seconds(1)), 2'098);
  this->tracker.RecordClock(this->Send(), ReplyAt(1'100));
  EXPECT_EQ(this->tracker.LeaseUntil(seconds(1)), 2'100);
}

TEST_F(IncarnationTrackerTest, OlderListIsNotTheNewest) {
  this->tracker.Observe(7);
  EXPECT_TRUE(this->tracker.RecordList(ReplyAt(1'000)));
  EXPECT_TRUE(this->tracker.RecordList(ReplyAt(1'000)));
  EXPECT_FALSE(this->tracker.RecordList(ReplyAt(999)));
  EXPECT_TRUE(this->tracker.RecordList(ReplyAt(1'001)));
}

TEST_F(IncarnationTrackerTest, ListIsRecentFromItsEarliestTime) {
  runs::PollOrder order;
  order.wait = milliseconds(200);
  const SentOrder sent = this->Send();
  this->clock.Advance(milliseconds(240));
  EXPECT_FALSE(this->tracker.HasRecentList());
  // The endpoint may have listed its runs as soon as the poll arrived.
  runs::PollReply with_end;
  with_end.ended.push_back({1, "a", 1, runs::RunEndKind::kDone});
  this->tracker.RecordListTime(order, sent, with_end);
  EXPECT_FALSE(this->tracker.HasRecentList());
  // It has waited in full.
  this->tracker.RecordListTime(order, sent, {});
  EXPECT_TRUE(this->tracker.HasRecentList());
  this->clock.Advance(milliseconds(10));
  EXPECT_TRUE(this->tracker.HasRecentList());
  this->clock.Advance(milliseconds(1));
  EXPECT_FALSE(this->tracker.HasRecentList());
}

// An endpoint whose clock is fast waits less than the local clock measures.
TEST_F(IncarnationTrackerTest, ListIsNotMadeAfterItsArrival) {
  runs::PollOrder order;
  order.wait = milliseconds(200);
  const SentOrder sent = this->Send();
  this->clock.Advance(milliseconds(100));
  this->tracker.RecordListTime(order, sent, {});
  this->clock.Advance(milliseconds(51));
  EXPECT_FALSE(this->tracker.HasRecentList());
}

TEST_F(IncarnationTrackerTest, EndIsNewOnce) {
  EXPECT_TRUE(this->tracker.RecordEnd(2));
  EXPECT_FALSE(this->tracker.RecordEnd(2));
  EXPECT_FALSE(this->tracker.RecordEnd(1));
  EXPECT_TRUE(this->tracker.RecordEnd(3));
  EXPECT_EQ(this->tracker.SeenEndSeq(), 3u);
}

TEST_F(IncarnationTrackerTest, EndsAreAcknowledgedToPresentIncarnationOnly) {
  this->tracker.Observe(7);
  const SentOrder sent = this->Send();
  this->tracker.Observe(8);
  this->tracker.RecordEnd(3);
  this->tracker.RecordAcknowledgement(sent, 3);
  EXPECT_FALSE(this->tracker.AllEndsAcknowledged());
  this->tracker.RecordAcknowledgement(this->Send(), 3);
  EXPECT_TRUE(this->tracker.AllEndsAcknowledged());
  // Answers may arrive in another sequence than their polls were sent.
  this->tracker.RecordAcknowledgement(this->Send(), 2);
  EXPECT_TRUE(this->tracker.AllEndsAcknowledged());
}

}  // namespace
}  // namespace hawthornwheel::testing
