#include "runs/endpoint_session.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>

#include "base/metrics.h"
#include "support/manual_clock.h"
#include "support/scripted_orders.h"

namespace hawthornwheel::testing {
namespace {

using runs::EndpointSession;
using runs::OrderOutcome;
using runs::RunOutcome;
using runs::SessionState;
using std::chrono::milliseconds;
using std::chrono::seconds;

class EndpointSessionTest : public ::testing::Test {
 protected:
  EndpointSessionTest() {
    this->entry.id = "e";
    this->entry.service = "s";
    this->entry.domain = "north";
    this->entry.address = "10.0.0.1:1";
    this->entry.capacity = {16'000, 32'768, 0};
    this->session = std::make_unique<EndpointSession>(
        EndpointSession::Parts{this->clock, this->orders, this->metrics,
                               this->settings, this->tokens},
        this->entry, 0, EndpointSession::ClaimMode::kAtOnce, [] {});
  }

  runs::OrderReply Reply(OrderOutcome outcome) {
    runs::OrderReply reply;
    reply.outcome = outcome;
    reply.clock_ms = ++this->endpoint_ms;
    return reply;
  }

  void AnswerPoll(std::size_t index, OrderOutcome outcome,
                  std::vector<runs::ActiveRun> running = {},
                  std::vector<runs::EndedRun> ended = {}) {
    runs::PollReply reply;
    reply.order = outcome == OrderOutcome::kUnanswered ? runs::OrderReply{}
                                                       : this->Reply(outcome);
    // Only lists of runs name the incarnation.
    if (outcome == OrderOutcome::kAccepted) {
      reply.order.incarnation_start_ms = this->incarnation_start_ms;
    }
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    const auto answer = this->orders.polls[index].answer;
    answer(reply);
  }

  bool Start(const std::string& task, std::int64_t cpu_milli = 6'800) {
    runs::TaskOrder order;
    order.task = task;
    order.endpoint = "e";
    order.resources = {cpu_milli, 64, 0};
    order.estimate = milliseconds(100);
    order.time_left = seconds(1);
    runs::RunHandlers handlers;
    handlers.on_end = [this, task](RunOutcome outcome) {
      this->ends.emplace_back(task, outcome);
    };
    return this->session->Start(order, std::move(handlers));
  }

  // Leaves all polls from the second one on without an answer until the lease
  // has expired. Returns the number of polls so far.
  std::size_t SilenceUntilLeaseExpires() {
    constexpr int kSteps = 30;
    std::size_t answered = 1;
    for (int step = 0; step < kSteps; ++step) {
      this->clock.Advance(milliseconds(100));
      while (answered < this->orders.polls.size()) {
        this->AnswerPoll(answered++, OrderOutcome::kUnanswered);
      }
    }
    return answered;
  }

  void AnswerStart(std::size_t index, OrderOutcome outcome) {
    const auto answer = this->orders.starts[index].answer;
    answer(outcome == OrderOutcome::kUnanswered ? runs::OrderReply{}
                                                : this->Reply(outcome));
  }

  ManualClock clock;
  ScriptedOrders orders;
  base::Metrics metrics;
  runs::RunSettings settings;
  runs::FencingTokenGenerator tokens{"process#1"};
  catalog::EndpointEntry entry;
  std::int64_t endpoint_ms = 1'000;
  std::int64_t incarnation_start_ms = 7;
  std::vector<std::pair<std::string, RunOutcome>> ends;
  std::unique_ptr<EndpointSession> session;
};

TEST_F(EndpointSessionTest, RefusesTaskBeforeTokenIsConfirmed) {
  EXPECT_FALSE(this->Start("a"));
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  EXPECT_TRUE(this->Start("a"));
}

TEST_F(EndpointSessionTest, RefusesTaskBeyondCapacity) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  EXPECT_TRUE(this->Start("a"));
  EXPECT_TRUE(this->Start("b"));
  EXPECT_FALSE(this->Start("c"));
}

TEST_F(EndpointSessionTest, ForeignRunBlocksStartsUntilItHasEnded) {
  this->AnswerPoll(0, OrderOutcome::kAccepted, {{"x", 1, 10}});
  EXPECT_FALSE(this->Start("a", 100));
  ASSERT_EQ(this->orders.stops.size(), 1U);
  EXPECT_EQ(this->orders.stops[0].order.task, "x");
  this->orders.stops[0].answer(this->Reply(OrderOutcome::kAccepted));
  EXPECT_FALSE(this->Start("a", 100));
  this->AnswerPoll(1, OrderOutcome::kAccepted, {},
                   {{1, "x", 1, runs::RunEndKind::kStopped}});
  EXPECT_TRUE(this->Start("a", 100));
}

// A process that was paused does not know that another process has claimed the
// endpoint meanwhile. When the resumed process raises its token to determine
// the outcome of an unanswered order, it must not take the endpoint back,
// because it does not know which runs the endpoint has now.
TEST_F(EndpointSessionTest, RecheckTokenStaysBelowLaterClaim) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->clock.Advance(seconds(2));
  const std::uint64_t later_claim =
      runs::FencingTokenGenerator("process#2")
          .NextClaim(this->clock.WallMilliseconds(), 0);
  this->clock.Advance(seconds(2));
  ASSERT_TRUE(this->Start("b"));
  this->AnswerPoll(1, OrderOutcome::kUnanswered);
  for (const auto& sent : this->orders.polls) {
    EXPECT_LT(sent.order.target.fence, later_claim);
  }
  for (const auto& sent : this->orders.starts) {
    EXPECT_LT(sent.order.target.fence, later_claim);
  }
}

// A start order in flight during an endpoint restart may reach the new
// incarnation, which carries it out under the same id (soak seeds 1 and 2).
TEST_F(EndpointSessionTest, StartInFlightAtRestartIsKeptUntilOutcomeIsKnown) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("answered"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  this->AnswerPoll(1, OrderOutcome::kAccepted, {{"answered", 1, 0}});
  ASSERT_TRUE(this->Start("open"));
  ++this->incarnation_start_ms;
  this->AnswerStart(1, OrderOutcome::kAccepted);
  EXPECT_TRUE(this->ends.empty());
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted,
                   {{"open", 1, 0}});
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0],
            std::make_pair(std::string("answered"), RunOutcome::kLost));
  // The answer to the claim at the new incarnation lists the run as running.
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted,
                   {{"open", 1, 0}});
  EXPECT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->session->RunCount(), 1U);
}

// Guards against a task that is started again while it runs: an idle endpoint
// restarts unnoticed and accepts a start before a list of its runs shows the
// new incarnation.
TEST_F(EndpointSessionTest, StartAcceptedAfterUnnoticedRestartIsKept) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ++this->incarnation_start_ms;
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  this->AnswerPoll(1, OrderOutcome::kAccepted, {{"a", 1, 0}});
  EXPECT_TRUE(this->ends.empty());
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted,
                   {{"a", 1, 10}});
  EXPECT_TRUE(this->ends.empty());
  EXPECT_EQ(this->session->RunCount(), 1U);
  EXPECT_TRUE(this->orders.stops.empty());
}

// The end of such a run is read from the list of the new incarnation.
TEST_F(EndpointSessionTest, RunThatEndsAfterUnnoticedRestartIsDone) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ++this->incarnation_start_ms;
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  const std::vector<runs::EndedRun> ended = {
      {1, "a", 1, runs::RunEndKind::kDone}};
  this->AnswerPoll(1, OrderOutcome::kAccepted, {}, ended);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted, {},
                   ended);
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kDone);
}

// Guards against an endpoint that is asked again and again and never used: its
// entry, which another program wrote, names a start far in the future.
TEST_F(EndpointSessionTest, EntryAloneDoesNotShowRestart) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  catalog::EndpointEntry odd = this->entry;
  odd.incarnation_start_ms = 9'000'000'000'000;
  this->session->UpdateEntry(odd);
  this->session->UpdateEntry(odd);
  ASSERT_EQ(this->orders.polls.size(), 3U);
  this->AnswerPoll(2, OrderOutcome::kAccepted, {{"a", 1, 10}});
  EXPECT_TRUE(this->ends.empty());
  EXPECT_TRUE(this->Start("b"));
  EXPECT_LE(this->orders.polls.size(), 4U);
}

// Guards against an endpoint whose lists are ignored for good: its clock was
// set back before it restarted.
TEST_F(EndpointSessionTest, RestartWithEarlierClockIsNoticed) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  this->AnswerPoll(1, OrderOutcome::kAccepted, {{"a", 1, 10}});
  --this->incarnation_start_ms;
  this->AnswerPoll(2, OrderOutcome::kAccepted);
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kLost);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  EXPECT_TRUE(this->Start("b"));
}

// Guards against tasks at an endpoint of the wrong kind or beyond its capacity:
// it has restarted as another kind, and its entry is not read yet (review case
// 4).
TEST_F(EndpointSessionTest, RestartedEndpointIsUsedOnlyWithItsNewEntry) {
  this->entry.incarnation_start_ms = this->incarnation_start_ms;
  this->session->UpdateEntry(this->entry);
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  ++this->incarnation_start_ms;
  this->AnswerPoll(1, OrderOutcome::kAccepted);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  this->session->UpdateEntry(this->entry);
  EXPECT_FALSE(this->session->IsOpen());
  this->entry.incarnation_start_ms = this->incarnation_start_ms;
  this->entry.capacity.cpu_milli = 8'000;
  this->session->UpdateEntry(this->entry);
  EXPECT_TRUE(this->session->IsOpen());
  EXPECT_EQ(this->session->Free().cpu_milli, 8'000);
}

// A process that places a task at an endpoint of another process may not know
// the new entry yet.
TEST_F(EndpointSessionTest, TaskPlacedByOldEntryIsRefused) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  this->entry.incarnation_start_ms = this->incarnation_start_ms;
  this->session->UpdateEntry(this->entry);
  runs::TaskOrder order;
  order.task = "a";
  order.incarnation_start_ms = this->incarnation_start_ms - 1;
  EXPECT_FALSE(this->session->Start(order, {}));
  order.incarnation_start_ms = this->incarnation_start_ms;
  EXPECT_TRUE(this->session->Start(order, {}));
}

// Guards against a task at an endpoint of the wrong kind: an idle endpoint has
// restarted unnoticed (review case 4).
TEST_F(EndpointSessionTest, IdleEndpointListsItsRunsBeforeStart) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  this->clock.Advance(seconds(5));
  ASSERT_TRUE(this->Start("a"));
  ASSERT_TRUE(this->Start("b"));
  EXPECT_TRUE(this->orders.starts.empty());
  ASSERT_EQ(this->orders.polls.size(), 2U);
  this->AnswerPoll(1, OrderOutcome::kAccepted);
  EXPECT_EQ(this->orders.starts.size(), 2U);
  EXPECT_EQ(this->orders.polls.size(), 3U);
}

TEST_F(EndpointSessionTest, NoTaskStartsWhenIdleEndpointHasRestarted) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  this->clock.Advance(seconds(5));
  ASSERT_TRUE(this->Start("a"));
  ++this->incarnation_start_ms;
  this->AnswerPoll(1, OrderOutcome::kAccepted);
  EXPECT_TRUE(this->orders.starts.empty());
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kNotRun);
}

// Guards against a task of a job that was given up: the process was paused
// while the start order waited for the list.
TEST_F(EndpointSessionTest, TaskHeldDuringPauseIsNotRun) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  this->clock.Advance(seconds(5));
  ASSERT_TRUE(this->Start("a"));
  this->clock.Advance(seconds(2));
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  EXPECT_TRUE(this->orders.starts.empty());
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kNotRun);
}

TEST_F(EndpointSessionTest, HeldTaskIsNotRunWhenIdleEndpointIsSilent) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  this->clock.Advance(seconds(5));
  ASSERT_TRUE(this->Start("a"));
  this->AnswerPoll(1, OrderOutcome::kUnanswered);
  EXPECT_TRUE(this->ends.empty());
  this->AnswerPoll(2, OrderOutcome::kUnanswered);
  EXPECT_TRUE(this->orders.starts.empty());
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kNotRun);
}

TEST_F(EndpointSessionTest, UnansweredStartBeforeRestartEndsAsLost) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("open"));
  ++this->incarnation_start_ms;
  this->AnswerStart(0, OrderOutcome::kUnanswered);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kLost);
}

TEST_F(EndpointSessionTest, UnansweredStartIsSettledByHigherToken) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->clock.Advance(this->settings.recheck_after);
  ASSERT_EQ(this->orders.polls.size(), 3U);
  EXPECT_GT(this->orders.polls[2].order.target.fence,
            this->orders.starts[0].order.target.fence);
  EXPECT_TRUE(this->ends.empty());
  this->AnswerPoll(2, OrderOutcome::kAccepted);
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kUnconfirmed);
}

// A start that was not sent tells more than one without an answer: its job may
// be refused (issue 32), and its task is placed again without a recheck.
TEST_F(EndpointSessionTest, StartThatWasNotSentIsNotRun) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  const auto answer = this->orders.starts[0].answer;
  runs::OrderReply reply;
  reply.outcome = OrderOutcome::kNotSent;
  answer(reply);
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kNotRun);
  // The endpoint is asked whether it can be reached.
  const std::size_t polls = this->orders.polls.size();
  EXPECT_GT(this->orders.polls.back().order.target.fence,
            this->orders.starts[0].order.target.fence);
  for (std::size_t i = polls - 1; i <= polls; ++i) {
    const auto poll_answer = this->orders.polls.at(i).answer;
    runs::PollReply poll_reply;
    poll_reply.order.outcome = OrderOutcome::kNotSent;
    poll_answer(poll_reply);
  }
  EXPECT_EQ(this->session->State(), SessionState::kUnreachable);
}

// Guards against a breach of "at most once" that leaves no trace in logs and
// metrics: a run that the session counts as ended is listed as in progress.
TEST_F(EndpointSessionTest, SettledRunThatIsListedIsCounted) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kUnanswered);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->metrics.Counter("runs.settled_in_progress"), 0U);
  ASSERT_TRUE(this->Start("b"));
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted,
                   {{"a", 1, 10}, {"b", 1, 0}, {"foreign", 1, 0}});
  EXPECT_EQ(this->metrics.Counter("runs.settled_in_progress"), 1U);
  EXPECT_EQ(this->orders.stops.size(), 2U);
}

TEST_F(EndpointSessionTest, UnansweredStartThatRunsIsKept) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->clock.Advance(this->settings.recheck_after);
  this->AnswerPoll(2, OrderOutcome::kAccepted, {{"a", 1, 50}});
  EXPECT_TRUE(this->ends.empty());
  EXPECT_EQ(this->session->RunCount(), 1U);
}

TEST_F(EndpointSessionTest, FencedOffRunIsLostOnlyWhenLeaseExpires) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  this->AnswerPoll(1, OrderOutcome::kFenced);
  EXPECT_EQ(this->session->State(), SessionState::kFencedOff);
  this->clock.Advance(milliseconds(990));
  EXPECT_TRUE(this->ends.empty());
  this->clock.Advance(milliseconds(100));
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kLost);
}

TEST_F(EndpointSessionTest, EndpointRestartLosesRunsAndToken) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  this->incarnation_start_ms = 8;
  this->AnswerPoll(1, OrderOutcome::kAccepted);
  EXPECT_FALSE(this->Start("b"));
  EXPECT_GT(this->orders.polls.back().order.target.fence,
            this->orders.polls.front().order.target.fence);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kLost);
}

struct RefusedStart {
  const char* name;
  OrderOutcome outcome;
  RunOutcome end;
};

class RefusedStartTest : public EndpointSessionTest,
                         public ::testing::WithParamInterface<RefusedStart> {};

TEST_P(RefusedStartTest, EndsRunWithCertainOutcome) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, GetParam().outcome);
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, GetParam().end);
  EXPECT_EQ(this->session->RunCount(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RefusedStartTest,
    ::testing::Values(
        RefusedStart{"Fenced", OrderOutcome::kFenced, RunOutcome::kNotRun},
        RefusedStart{"Stale", OrderOutcome::kStaleRun, RunOutcome::kStaleRun},
        RefusedStart{"Expired", OrderOutcome::kExpired, RunOutcome::kNotRun},
        RefusedStart{"NoCapacity", OrderOutcome::kNoCapacity,
                     RunOutcome::kNotRun},
        RefusedStart{"Invalid", OrderOutcome::kInvalid, RunOutcome::kFailed},
        RefusedStart{"Overloaded", OrderOutcome::kOverloaded,
                     RunOutcome::kNotRun}),
    [](const auto& row) { return row.param.name; });

// Guards against a task that is started again while it runs: an order that was
// delivered twice is carried out and then refused.
TEST_P(RefusedStartTest, DoesNotEndRunThatTheEndpointLists) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->clock.Advance(this->settings.recheck_after);
  this->AnswerPoll(2, OrderOutcome::kAccepted, {{"a", 1, 10}});
  this->AnswerStart(0, GetParam().outcome);
  EXPECT_TRUE(this->ends.empty());
  EXPECT_EQ(this->session->RunCount(), 1U);
}

// Guards against starts beyond the capacity: the list that confirms a claim is
// skipped, since the answer to a stop has overtaken it.
TEST_F(EndpointSessionTest, ListOfClaimIsReadThoughAnotherAnswerOvertookIt) {
  this->AnswerPoll(0, OrderOutcome::kAccepted, {{"x", 1, 10}});
  ASSERT_EQ(this->orders.stops.size(), 1U);
  this->AnswerPoll(1, OrderOutcome::kUnanswered);
  const std::size_t recheck = this->orders.polls.size() - 1;
  this->endpoint_ms += 20;
  this->orders.stops[0].answer(this->Reply(OrderOutcome::kAccepted));
  this->endpoint_ms -= 20;
  this->AnswerPoll(recheck, OrderOutcome::kAccepted,
                   {{"x", 1, 10}, {"y", 1, 10}});
  ASSERT_EQ(this->orders.stops.size(), 2U);
  EXPECT_EQ(this->orders.stops[1].order.task, "y");
}

// Guards against starts beyond the capacity and against a second run of a task:
// a process whose claim was refused reads the list of the restarted endpoint,
// whose clock has started anew (soak seed 408).
TEST_F(EndpointSessionTest, ListAfterRestartIsReadByRefusedProcess) {
  this->endpoint_ms = 500'000;
  this->AnswerPoll(0, OrderOutcome::kFenced);
  this->endpoint_ms = 100;
  this->AnswerPoll(1, OrderOutcome::kAccepted, {{"x", 1, 10}});
  EXPECT_EQ(this->orders.stops.size(), 1U);
  EXPECT_FALSE(this->Start("a", 100));
}

// Guards against a start that is carried out after its run counts as lost: a
// late answer of the earlier incarnation, whose clock was ahead, sets the
// lease, so the new incarnation does not refuse the start as late.
TEST_F(EndpointSessionTest, LateAnswerOfEarlierIncarnationDoesNotSetClock) {
  this->endpoint_ms = 500'000;
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  ++this->incarnation_start_ms;
  this->endpoint_ms = 10;
  this->AnswerPoll(1, OrderOutcome::kAccepted);
  const std::size_t claim = this->orders.polls.size() - 1;
  this->endpoint_ms = 500'010;
  this->AnswerStart(0, OrderOutcome::kAccepted);
  this->endpoint_ms = 20;
  this->AnswerPoll(claim, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("b"));
  constexpr std::int64_t kLatestLeaseMs = 1'100;
  EXPECT_LT(this->orders.starts[1].order.lease_until_ms, kLatestLeaseMs);
}

// Guards against a run that is never settled: its start was sent, and its
// recheck was due, while the recheck of an earlier start was in progress.
TEST_F(EndpointSessionTest, StartSentDuringRecheckIsRechecked) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kUnanswered);
  const std::size_t recheck = this->orders.polls.size() - 1;
  ASSERT_TRUE(this->Start("b"));
  this->AnswerStart(1, OrderOutcome::kUnanswered);
  this->clock.Advance(this->settings.recheck_after);
  this->AnswerPoll(recheck, OrderOutcome::kAccepted, {{"a", 1, 0}});
  EXPECT_GT(this->orders.polls.back().order.target.fence,
            this->orders.starts[1].order.target.fence);
}

// Guards against an idle endpoint that is polled for good: a poll that was sent
// to the earlier incarnation acknowledged ends of it.
TEST_F(EndpointSessionTest, EndsOfEarlierIncarnationAreNotAcknowledged) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  this->AnswerPoll(1, OrderOutcome::kAccepted, {},
                   {{5, "a", 1, runs::RunEndKind::kDone}});
  ASSERT_TRUE(this->Start("b"));
  this->AnswerStart(1, OrderOutcome::kUnanswered);
  const std::size_t recheck = this->orders.polls.size() - 1;
  ASSERT_EQ(recheck, 3U);
  ++this->incarnation_start_ms;
  this->AnswerPoll(recheck, OrderOutcome::kAccepted);
  this->AnswerPoll(2, OrderOutcome::kAccepted);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  const std::size_t polls = this->orders.polls.size();
  this->AnswerPoll(polls - 1, OrderOutcome::kAccepted);
  EXPECT_EQ(this->orders.polls.size(), polls);
}

// Guards against a run that counts as lost while it is at work: the reading of
// the endpoint's clock was old, and the clock is slow, so the order asked for a
// longer lease than the session assumes.
TEST_F(EndpointSessionTest, LeaseAllowsForSlowClockSinceItsReading) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a", 100));
  this->clock.Advance(seconds(3));
  ASSERT_TRUE(this->Start("b", 100));
  constexpr std::int64_t kReadMs = 1'001;
  constexpr std::int64_t kSlowAgeMs = 2'940;
  constexpr std::int64_t kLeaseMs = 1'000;
  EXPECT_LE(this->orders.starts[1].order.lease_until_ms,
            kReadMs + kSlowAgeMs + kLeaseMs);
}

// Guards against a task that is started again while it runs: the late refusal
// of a start that a list has settled is taken for the answer to a later start
// of the same run, which a copy of the job at another process has placed.
TEST_P(RefusedStartTest, AnswerToEarlierOrderDoesNotEndRun) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->clock.Advance(this->settings.recheck_after);
  this->AnswerPoll(2, OrderOutcome::kAccepted);
  ASSERT_EQ(this->ends.size(), 1U);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, GetParam().outcome);
  EXPECT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->session->RunCount(), 1U);
}

// Guards against starts beyond the capacity: the list of a claim arrives late,
// and the endpoint has restarted since it was made.
TEST_F(EndpointSessionTest, LateListDoesNotVerifyEndpoint) {
  this->clock.Advance(milliseconds(140));
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  EXPECT_TRUE(this->orders.starts.empty());
  ASSERT_EQ(this->orders.polls.size(), 2U);
  this->AnswerPoll(1, OrderOutcome::kAccepted);
  EXPECT_EQ(this->orders.starts.size(), 1U);
}

// A poll that waited in full and found no end lists the runs at the end of its
// wait.
TEST_F(EndpointSessionTest, ListAfterWaitVerifiesEndpoint) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  this->AnswerPoll(1, OrderOutcome::kAccepted, {},
                   {{1, "a", 1, runs::RunEndKind::kDone}});
  this->clock.Advance(this->settings.poll_wait + milliseconds(1));
  this->AnswerPoll(2, OrderOutcome::kAccepted);
  ASSERT_EQ(this->orders.polls.size(), 3U);
  this->clock.Advance(milliseconds(20));
  ASSERT_TRUE(this->Start("b"));
  EXPECT_EQ(this->orders.starts.size(), 2U);
}

// Guards against starts under an outdated token at a restarted endpoint: its
// waiting poll is lost silently, but the answer to a start has an earlier clock
// than the last reading.
TEST_F(EndpointSessionTest, AnswerWithEarlierClockShowsRestart) {
  this->endpoint_ms = 500'000;
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  const std::size_t polls = this->orders.polls.size();
  this->endpoint_ms = 100;
  this->AnswerStart(0, OrderOutcome::kAccepted);
  ASSERT_EQ(this->orders.polls.size(), polls + 1);
  EXPECT_EQ(this->orders.polls.back().order.wait, base::Duration{0});
  this->AnswerStart(0, OrderOutcome::kAccepted);
  EXPECT_EQ(this->orders.polls.size(), polls + 1);
}

// Guards against an endpoint that is never asked again and runs that are never
// settled: while the endpoint does not answer, the answer to an earlier poll
// arrives late.
TEST_F(EndpointSessionTest, UnreachableEndpointIsAskedAfterLateAnswer) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("b"));
  this->AnswerStart(1, OrderOutcome::kUnanswered);
  this->AnswerPoll(2, OrderOutcome::kUnanswered);
  this->AnswerPoll(3, OrderOutcome::kUnanswered);
  ASSERT_EQ(this->session->State(), SessionState::kUnreachable);
  this->AnswerPoll(1, OrderOutcome::kAccepted, {{"a", 1, 0}});
  const std::size_t polls = this->orders.polls.size();
  this->AnswerPoll(polls - 1, OrderOutcome::kUnanswered);
  this->clock.Advance(seconds(5));
  EXPECT_GT(this->orders.polls.size(), polls);
  EXPECT_EQ(this->ends.size(), 2U);
}

// Guards against a start that is carried out after its run has counted as lost
// (issue 32): an endpoint that was silent until the lease had expired was asked
// without a token for 1.5 s after it had answered again.
TEST_F(EndpointSessionTest, LateStartIsRejectedOnceSilentEndpointAnswers) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  const std::size_t answered = this->SilenceUntilLeaseExpires();
  ASSERT_EQ(this->ends.size(), 1U);
  EXPECT_EQ(this->ends[0].second, RunOutcome::kLost);
  this->clock.Advance(seconds(2));
  ASSERT_GT(this->orders.polls.size(), answered);
  EXPECT_GT(this->orders.polls.back().order.target.fence,
            this->orders.starts[0].order.target.fence);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  EXPECT_EQ(this->session->State(), SessionState::kReady);
}

// Guards against the take-over of an endpoint whose new incarnation another
// process may have claimed: it restarted while it was silent here.
TEST_F(EndpointSessionTest, SilentEndpointThatRestartedIsProbedWithoutToken) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  const std::size_t answered = this->SilenceUntilLeaseExpires();
  this->entry.incarnation_start_ms = this->incarnation_start_ms + 1;
  this->session->UpdateEntry(this->entry);
  this->clock.Advance(seconds(2));
  ASSERT_GT(this->orders.polls.size(), answered);
  EXPECT_EQ(this->orders.polls.back().order.target.fence, 0U);
}

// As above, when no entry has shown the restart.
TEST_F(EndpointSessionTest, RestartOfSilentEndpointIsClaimedAfterDelay) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  const std::size_t answered = this->SilenceUntilLeaseExpires();
  this->clock.Advance(seconds(2));
  ASSERT_GT(this->orders.polls.size(), answered);
  ++this->incarnation_start_ms;
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kAccepted);
  const std::size_t polls = this->orders.polls.size();
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->orders.polls.size(), polls);
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->orders.polls.size(), polls + 1);
}

// Guards against an endpoint that is out of use for longer than it was silent:
// each older poll that failed put off the next one.
TEST_F(EndpointSessionTest, LateFailureDoesNotPutOffNextPoll) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kUnanswered);
  this->AnswerPoll(2, OrderOutcome::kUnanswered);
  this->AnswerPoll(3, OrderOutcome::kUnanswered);
  ASSERT_EQ(this->session->State(), SessionState::kUnreachable);
  const std::size_t polls = this->orders.polls.size();
  this->clock.Advance(milliseconds(200));
  this->AnswerPoll(1, OrderOutcome::kUnanswered);
  this->clock.Advance(milliseconds(60));
  EXPECT_EQ(this->orders.polls.size(), polls + 1);
}

// The token of a process that was cut off does not outrank the claim that
// another process made meanwhile.
TEST_F(EndpointSessionTest, SilentEndpointThatWasClaimedIsGivenUp) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  const std::size_t answered = this->SilenceUntilLeaseExpires();
  const std::uint64_t later_claim =
      runs::FencingTokenGenerator("process#2")
          .NextClaim(this->clock.WallMilliseconds(), 0);
  this->clock.Advance(seconds(2));
  ASSERT_GT(this->orders.polls.size(), answered);
  EXPECT_LT(this->orders.polls.back().order.target.fence, later_claim);
  this->AnswerPoll(this->orders.polls.size() - 1, OrderOutcome::kFenced);
  EXPECT_EQ(this->session->State(), SessionState::kFencedOff);
}

TEST_F(EndpointSessionTest, EndsAreAcknowledgedImmediately) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  ASSERT_TRUE(this->Start("a"));
  this->AnswerStart(0, OrderOutcome::kAccepted);
  this->AnswerPoll(1, OrderOutcome::kAccepted, {},
                   {{5, "a", 1, runs::RunEndKind::kDone}});
  ASSERT_EQ(this->orders.polls.size(), 3U);
  EXPECT_EQ(this->orders.polls[2].order.acked_end_seq, 5U);
}

TEST_F(EndpointSessionTest, IdleEndpointIsNotPolled) {
  this->AnswerPoll(0, OrderOutcome::kAccepted);
  this->clock.Advance(seconds(30));
  EXPECT_EQ(this->orders.polls.size(), 1U);
}

}  // namespace
}  // namespace hawthornwheel::testing
