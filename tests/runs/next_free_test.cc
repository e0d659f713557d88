// Load pattern: all places that suit a task are busy. Whether a wait for one of
// them pays depends on when it is expected to be free.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "runs/endpoint_session.h"
#include "support/hosted_fleet.h"
#include "support/scripted_orders.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class NextFreeTest : public ::testing::Test {
 protected:
  NextFreeTest() {
    this->entry.id = "e";
    this->entry.service = "s";
    this->entry.capacity = {64'000, 32'768, 0};
    this->session = std::make_unique<runs::EndpointSession>(
        runs::EndpointSession::Parts{this->clock, this->orders, this->metrics,
                                     this->settings, this->tokens},
        this->entry, 0, runs::EndpointSession::ClaimMode::kAtOnce, [] {});
    this->AnswerLatestPoll({});
  }

  void AnswerLatestPoll(std::vector<runs::ActiveRun> running) {
    runs::PollReply reply;
    reply.order.outcome = runs::OrderOutcome::kAccepted;
    reply.order.clock_ms = ++this->endpoint_ms;
    reply.order.incarnation_start_ms = 7;
    reply.running = std::move(running);
    const auto answer = this->orders.polls.back().answer;
    answer(reply);
  }

  void Start(const std::string& task, base::Duration estimate) {
    runs::TaskOrder order;
    order.task = task;
    order.endpoint = "e";
    order.resources = {32'000, 64, 0};
    order.estimate = estimate;
    order.time_left = seconds(3);
    ASSERT_TRUE(this->session->Start(order, {[](runs::RunOutcome) {}, {}, {}}));
    runs::OrderReply reply;
    reply.outcome = runs::OrderOutcome::kAccepted;
    reply.clock_ms = ++this->endpoint_ms;
    const auto answer = this->orders.starts.back().answer;
    answer(reply);
  }

  // Returns the time until the next expected end in milliseconds, or -1.
  std::int64_t NextFreeMs() {
    const auto next = this->session->NextFree();
    return next ? (*next - this->clock.Now()) / milliseconds(1) : -1;
  }

  ManualClock clock;
  ScriptedOrders orders;
  base::Metrics metrics;
  runs::RunSettings settings;
  runs::FencingTokenGenerator tokens{"process#1"};
  catalog::EndpointEntry entry;
  std::int64_t endpoint_ms = 1'000;
  std::unique_ptr<runs::EndpointSession> session;
};

TEST_F(NextFreeTest, IdleEndpointExpectsNoEnd) {
  EXPECT_EQ(this->NextFreeMs(), -1);
}

TEST_F(NextFreeTest, NextEndIsThatOfTheRunThatEndsFirst) {
  this->Start("long", milliseconds(800));
  this->clock.Advance(milliseconds(100));
  this->Start("short", milliseconds(200));
  this->clock.Advance(milliseconds(50));
  EXPECT_EQ(this->NextFreeMs(), 150);
}

// A run that takes longer than declared was expected to end in the past, so
// tasks would wait for it without an end.
TEST_F(NextFreeTest, RunThatIsLaterThanDeclaredEndsInTheFuture) {
  this->Start("late", milliseconds(100));
  this->clock.Advance(milliseconds(200));
  EXPECT_EQ(this->NextFreeMs(), 70);
}

// The progress is reported in whole percents, so that 25% means 25.5% on
// average.
TEST_F(NextFreeTest, ProgressCorrectsTheDeclaredRunTime) {
  this->Start("task", milliseconds(400));
  this->clock.Advance(milliseconds(200));
  this->AnswerLatestPoll({{"task", 1, 25}});
  EXPECT_EQ(this->NextFreeMs(), 584);
  this->clock.Advance(milliseconds(100));
  EXPECT_EQ(this->NextFreeMs(), 484);
}

TEST_F(NextFreeTest, RunOfAnotherProcessMakesTheNextEndUnknown) {
  this->Start("task", milliseconds(400));
  this->clock.Advance(milliseconds(10));
  this->AnswerLatestPoll({{"task", 1, 1}, {"other", 1, 1}});
  EXPECT_EQ(this->NextFreeMs(), -1);
}

// A process that does not hold the endpoint decides on the same expectation.
TEST(NextFreeHeartbeatTest, HeartbeatsTellPeersTheNextEnd) {
  HostedFleet fleet;
  fleet.Publish("1 /l/:0 /h/:1 /q/:2");
  fleet.AddEndpoint("e", "north");
  HostedProcess& first = fleet.AddProcess("north0", "north");
  HostedProcess& second = fleet.AddProcess("north1", "north");
  fleet.Run(seconds(2));
  fleet.Submit("north0", "/q/", 2, milliseconds(900));
  fleet.Run(milliseconds(300));
  for (const HostedProcess* process : {&first, &second}) {
    const auto candidates = process->placer.Candidates();
    ASSERT_EQ(candidates.size(), 1U);
    ASSERT_TRUE(candidates[0].next_free.has_value());
    const auto left_ms =
        (*candidates[0].next_free - fleet.clock.Now()) / milliseconds(1);
    EXPECT_NEAR(static_cast<double>(left_ms), 600, 60);
  }
}

}  // namespace
}  // namespace hawthornwheel::testing
