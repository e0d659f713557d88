// Checks that a session lets the leases at its endpoint expire when a run there
// must have ended whose stop is not confirmed, and only then.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "runs/endpoint_session.h"
#include "support/manual_clock.h"
#include "support/scripted_orders.h"

namespace hawthornwheel::testing {
namespace {

using runs::EndpointSession;
using runs::OrderOutcome;
using runs::RunOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kStep = milliseconds(10);
constexpr base::Duration kTimeToEnd = milliseconds(1'200);

// The endpoint answers each poll after its wait, and each start at once. It
// leaves stops without an answer.
class LeaseLimitTest : public ::testing::Test {
 protected:
  LeaseLimitTest() {
    this->entry.id = "e";
    this->entry.service = "s";
    this->entry.domain = "north";
    this->entry.address = "10.0.0.1:1";
    this->entry.capacity = {64'000, 32'768, 0};
    this->session = std::make_unique<EndpointSession>(
        EndpointSession::Parts{this->clock, this->orders, this->metrics,
                               this->settings, this->tokens},
        this->entry, 0, EndpointSession::ClaimMode::kAtOnce, [] {});
    this->Run(kStep);
  }

  std::int64_t EndpointMs() const {
    return 1'000 + this->clock.Now().time_since_epoch() / milliseconds(1);
  }

  runs::OrderReply Accepted() const {
    runs::OrderReply reply;
    reply.outcome = OrderOutcome::kAccepted;
    reply.clock_ms = this->EndpointMs();
    return reply;
  }

  bool Start(const std::string& task, base::Duration estimate = seconds(6)) {
    runs::TaskOrder order;
    order.task = task;
    order.endpoint = "e";
    order.resources = {100, 64, 0};
    order.estimate = estimate;
    order.time_left = seconds(100);
    runs::RunHandlers handlers;
    handlers.on_end = [this, task](RunOutcome outcome) {
      this->ends.emplace_back(task, outcome);
    };
    handlers.latest_end = [this] { return this->latest_end; };
    if (!this->session->Start(order, std::move(handlers))) return false;
    this->running.push_back({task, 1, 0});
    return true;
  }

  void Run(base::Duration time) {
    for (base::Duration passed{0}; passed < time; passed += kStep) {
      this->clock.Advance(kStep);
      this->AnswerStarts();
      this->AnswerPolls();
    }
  }

  void AnswerStarts() {
    if (!this->starts_answered) return;
    for (; this->answered_starts < this->orders.starts.size();
         ++this->answered_starts) {
      const auto& start = this->orders.starts[this->answered_starts];
      this->ExtendLease(start.order.lease_until_ms);
      const auto answer = start.answer;
      answer(this->Accepted());
    }
  }

  void AnswerPolls() {
    this->poll_times.resize(this->orders.polls.size(), this->clock.Now());
    for (std::size_t i = this->open_poll; i < this->orders.polls.size(); ++i) {
      const auto poll = this->orders.polls[i];
      this->ExtendLease(poll.order.lease_until_ms);
      if (this->clock.Now() - this->poll_times[i] < poll.order.wait) return;
      this->open_poll = i + 1;
      runs::PollReply reply;
      reply.order = this->Accepted();
      reply.order.incarnation_start_ms = 7;
      reply.running = this->running;
      poll.answer(reply);
      this->poll_times.resize(this->orders.polls.size(), this->clock.Now());
    }
  }

  void ExtendLease(std::int64_t until_ms) {
    this->lease_end_ms = std::max(this->lease_end_ms, until_ms);
  }

  // Returns the time until the leases at the endpoint expire.
  base::Duration LeaseLeft() const {
    return milliseconds(this->lease_end_ms - this->EndpointMs());
  }

  void StopIn(base::Duration time, const std::string& task) {
    this->session->Stop(task, 1, this->clock.Now() + time);
  }

  ManualClock clock;
  ScriptedOrders orders;
  base::Metrics metrics;
  runs::RunSettings settings;
  runs::FencingTokenGenerator tokens{"process#1"};
  catalog::EndpointEntry entry;
  std::vector<runs::ActiveRun> running;
  std::vector<std::pair<std::string, RunOutcome>> ends;
  std::optional<base::TimePoint> latest_end;
  bool starts_answered = true;
  std::int64_t lease_end_ms = 0;
  std::size_t answered_starts = 0;
  std::size_t open_poll = 0;
  std::vector<base::TimePoint> poll_times;
  std::unique_ptr<EndpointSession> session;
};

// Guards against TWICE (review/11): the leases were renewed for another run
// while the stop of one had no answer.
TEST_F(LeaseLimitTest, LeasesExpireByEndOfRunWhoseStopHasNoAnswer) {
  ASSERT_TRUE(this->Start("stopped"));
  ASSERT_TRUE(this->Start("other"));
  this->Run(milliseconds(500));
  const base::TimePoint end_by = this->clock.Now() + kTimeToEnd;
  this->StopIn(kTimeToEnd, "stopped");
  // The endpoint's clock may be 2% slow.
  constexpr double kSlowRate = 0.98;
  while (this->clock.Now() < end_by) {
    this->Run(kStep);
    const auto left =
        std::chrono::duration<double, std::milli>(end_by - this->clock.Now());
    const auto lease =
        std::chrono::duration<double, std::milli>(this->LeaseLeft());
    EXPECT_LE(lease.count() / kSlowRate, left.count());
  }
  EXPECT_EQ(this->metrics.Counter("runs.lost_stops"), 1U);
}

// Starts renew the leases, too.
TEST_F(LeaseLimitTest, StartsDoNotRenewLeasesBeyondEndOfRun) {
  ASSERT_TRUE(this->Start("stopped"));
  this->Run(milliseconds(500));
  const base::TimePoint end_by = this->clock.Now() + kTimeToEnd;
  this->StopIn(kTimeToEnd, "stopped");
  int started = 0;
  for (int i = 0; this->clock.Now() < end_by; ++i) {
    if (this->Start("t" + std::to_string(i), milliseconds(50))) ++started;
    this->Run(kStep);
    EXPECT_LE(this->LeaseLeft(), end_by - this->clock.Now());
  }
  EXPECT_GT(started, 100);
}

// Guards against leases that expire without need: a stop that was confirmed
// ends the run.
TEST_F(LeaseLimitTest, ConfirmedStopLetsLeasesBeRenewed) {
  ASSERT_TRUE(this->Start("stopped"));
  ASSERT_TRUE(this->Start("other"));
  this->Run(milliseconds(500));
  this->StopIn(kTimeToEnd, "stopped");
  this->Run(milliseconds(1'000));
  EXPECT_LE(this->LeaseLeft(), milliseconds(200));
  const auto answer = this->orders.stops.back().answer;
  answer(this->Accepted());
  this->Run(milliseconds(150));
  EXPECT_GE(this->LeaseLeft(), milliseconds(700));
}

// Guards against leases that expire without need: the task of a run that is
// stopped to start it elsewhere waits for the end of the run.
TEST_F(LeaseLimitTest, RunThatMayGoOnLetsLeasesBeRenewed) {
  ASSERT_TRUE(this->Start("moved"));
  ASSERT_TRUE(this->Start("other"));
  this->session->Stop("moved", 1, {});
  this->Run(seconds(2));
  EXPECT_GE(this->LeaseLeft(), milliseconds(700));
  EXPECT_TRUE(this->Start("long"));
  // Its job ends.
  this->StopIn(kTimeToEnd, "moved");
  this->Run(kTimeToEnd);
  EXPECT_LE(this->LeaseLeft(), base::Duration{0});
}

// Guards against TWICE: a process that waits for a run, and is not heard any
// more, counts it as ended.
TEST_F(LeaseLimitTest, LeasesExpireByLatestEndOfRunForOtherProcess) {
  ASSERT_TRUE(this->Start("remote"));
  this->latest_end = this->clock.Now() + kTimeToEnd;
  this->Run(milliseconds(600));
  EXPECT_LE(this->LeaseLeft(), milliseconds(600));
  // The process is heard again.
  this->latest_end = this->clock.Now() + seconds(2);
  this->Run(milliseconds(500));
  EXPECT_GE(this->LeaseLeft(), milliseconds(700));
}

// Guards against TWICE: the lease of a run of another process, whose job may
// have been submitted again long ago, was renewed for other runs.
TEST_F(LeaseLimitTest, LeaseOfForeignRunIsNotRenewedForOthers) {
  ASSERT_TRUE(this->Start("own"));
  this->Run(milliseconds(500));
  this->running.push_back({"foreign", 1, 0});
  this->Run(this->settings.poll_wait);
  ASSERT_FALSE(this->orders.stops.empty());
  this->Run(this->settings.lease);
  EXPECT_LE(this->LeaseLeft(), base::Duration{0});
}

// Guards against leases that expire for a run that never began: its start and
// its stop were lost, and the stop took the place of the recheck.
TEST_F(LeaseLimitTest, StartWithoutAnswerIsRecheckedThoughItIsStopped) {
  ASSERT_TRUE(this->Start("other"));
  this->Run(milliseconds(500));
  this->starts_answered = false;
  ASSERT_TRUE(this->Start("lost"));
  this->running.pop_back();
  this->Run(milliseconds(20));
  this->StopIn(kTimeToEnd, "lost");
  this->Run(kTimeToEnd);
  EXPECT_EQ(this->ends, (std::vector<std::pair<std::string, RunOutcome>>{
                            {"lost", RunOutcome::kUnconfirmed}}));
  EXPECT_GE(this->LeaseLeft(), milliseconds(700));
}

// Guards against tasks that are killed with the leases, and against tasks that
// are refused though they can be served.
TEST_F(LeaseLimitTest, TasksStartThatEndBeforeLeasesExpire) {
  ASSERT_TRUE(this->Start("stopped"));
  this->Run(milliseconds(500));
  this->StopIn(kTimeToEnd, "stopped");
  // Two lost stop orders are no reason to expect that the third is lost.
  this->Run(milliseconds(200));
  EXPECT_TRUE(this->Start("long at first", seconds(1)));
  this->Run(milliseconds(400));
  EXPECT_FALSE(this->Start("long", seconds(1)));
  EXPECT_TRUE(this->Start("short", milliseconds(200)));
  this->Run(milliseconds(450));
  EXPECT_FALSE(this->Start("short at last", milliseconds(200)));
  this->running.clear();
  this->session.reset();
}

}  // namespace
}  // namespace hawthornwheel::testing
