// Checks one session against an endpoint that is silent, or some of whose
// orders are lost.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/logger.h"
#include "base/metrics.h"
#include "runs/endpoint_session.h"
#include "support/leased_orders.h"
#include "support/manual_clock.h"

namespace hawthornwheel::testing {
namespace {

using runs::EndpointSession;
using runs::RunOutcome;
using runs::SessionState;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Passes orders on, or loses them until they time out.
class LosingOrders final : public runs::EndpointOrders {
 public:
  LosingOrders(runs::EndpointOrders& orders, ManualClock& clock)
      : orders(orders), clock(clock) {}

  void Start(const runs::StartOrder& order,
             std::function<void(const runs::OrderReply&)> done) override {
    this->orders.Start(order, std::move(done));
  }
  void Stop(const runs::OrderTarget& target, const std::string& task,
            std::uint64_t run,
            std::function<void(const runs::OrderReply&)> done) override {
    this->orders.Stop(target, task, run, std::move(done));
  }
  void Poll(const runs::PollOrder& order,
            std::function<void(const runs::PollReply&)> done) override {
    ++this->polls;
    if (this->polls_to_lose == 0) {
      this->orders.Poll(order, std::move(done));
      return;
    }
    --this->polls_to_lose;
    this->clock.StartTimer(order.target.timeout,
                           [done = std::move(done)] { done({}); });
  }

  int polls = 0;
  /// Number of the next polls that are lost.
  int polls_to_lose = 0;

 private:
  runs::EndpointOrders& orders;
  ManualClock& clock;
};

class SilentEndpointTest : public ::testing::Test {
 protected:
  SilentEndpointTest() {
    this->entry.id = "e";
    this->entry.capacity = {100'000, 32'768, 0};
    this->endpoints.Add(this->entry);
    this->session = std::make_unique<EndpointSession>(
        EndpointSession::Parts{this->clock, this->orders, this->metrics,
                               this->settings, this->tokens},
        this->entry, 0, EndpointSession::ClaimMode::kAtOnce, [] {});
    this->clock.Advance(milliseconds(2));
  }

  bool Start(const std::string& task, base::Duration time) {
    this->endpoints.SetTask(task, time, runs::RunEndKind::kDone);
    runs::TaskOrder order;
    order.task = task;
    order.payload = task;
    order.resources = {1'000, 64, 0};
    order.time_left = seconds(5);
    runs::RunHandlers handlers;
    handlers.on_end = [this](RunOutcome outcome) {
      this->ends.emplace_back(this->clock.Now(), outcome);
    };
    return this->session->Start(order, std::move(handlers));
  }

  // Starts a task of `time`, with the next `lost` polls lost. Returns how much
  // later than it ends its end is known.
  base::Duration DelayOfEnd(const std::string& task, base::Duration time,
                            int lost) {
    this->orders.polls_to_lose = lost;
    const base::TimePoint begin = this->clock.Now();
    EXPECT_TRUE(this->Start(task, time));
    this->ends.clear();
    this->clock.Advance(time + seconds(1));
    if (this->ends.empty()) return seconds(1);
    EXPECT_EQ(this->ends[0].second, RunOutcome::kDone);
    return this->ends[0].first - begin - time;
  }

  ManualClock clock;
  Random random{1};
  LeasedEndpoints endpoints{this->clock, this->random};
  ProcessClock process_clock{this->clock};
  LeasedOrders endpoint_orders{this->endpoints, "north", this->process_clock};
  LosingOrders orders{this->endpoint_orders, this->clock};
  base::Metrics metrics;
  runs::RunSettings settings;
  runs::FencingTokenGenerator tokens{"process#1"};
  catalog::EndpointEntry entry;
  std::vector<std::pair<base::TimePoint, RunOutcome>> ends;
  std::unique_ptr<EndpointSession> session;
};

// Guards against tasks that are sent to an endpoint that is dead: whenever in
// the wait of a poll it falls silent, and whether or not tasks are started
// meanwhile, it gets none after 0.8 s.
TEST_F(SilentEndpointTest, GetsNoTasksAfterEightTenthsOfASecond) {
  base::SetLogLevel(base::LogLevel::kError);
  for (const int start_interval_ms : {0, 30, 200}) {
    for (int offset_ms = 0; offset_ms < 260; offset_ms += 20) {
      const std::string name =
          std::to_string(start_interval_ms) + "-" + std::to_string(offset_ms);
      SCOPED_TRACE(name);
      ASSERT_TRUE(this->Start(name, seconds(3)));
      this->clock.Advance(milliseconds(offset_ms));
      this->endpoints.SetSilent("e", true);
      for (int ms = 1; ms <= 800; ++ms) {
        if (start_interval_ms > 0 && ms % start_interval_ms == 0) {
          this->Start(name + "-" + std::to_string(ms), milliseconds(100));
        }
        this->clock.Advance(milliseconds(1));
      }
      EXPECT_FALSE(this->session->IsOpen());
      EXPECT_EQ(this->session->State(), SessionState::kUnreachable);
      this->endpoints.SetSilent("e", false);
      this->clock.Advance(seconds(8));
      ASSERT_TRUE(this->session->IsOpen());
      ASSERT_EQ(this->session->RunCount(), 0U);
    }
  }
  base::SetLogLevel(base::LogLevel::kInfo);
}

// Guards against a sound endpoint that is taken out of use: two polls in a row
// are lost, and the answer to a start between them shows that it is alive.
TEST_F(SilentEndpointTest, TwoLostPollsDoNotCloseEndpointThatAnswersAStart) {
  this->orders.polls_to_lose = 2;
  ASSERT_TRUE(this->Start("a", seconds(2)));
  for (int step = 0; step < 100; ++step) {
    this->clock.Advance(milliseconds(10));
    ASSERT_TRUE(this->session->IsOpen()) << step;
    if (step == 34) {
      ASSERT_TRUE(this->Start("b", seconds(1)));
    }
  }
}

// As above without a start: three polls in a row are lost.
TEST_F(SilentEndpointTest, ThreeLostPollsDoNotCloseEndpoint) {
  this->orders.polls_to_lose = 3;
  ASSERT_TRUE(this->Start("a", seconds(2)));
  for (int step = 0; step < 100; ++step) {
    this->clock.Advance(milliseconds(10));
    ASSERT_TRUE(this->session->IsOpen()) << step;
  }
}

// Guards against runs that are lost while their endpoint is sound: no poll
// renewed their lease between the loss of two polls and the next answer.
TEST_F(SilentEndpointTest, LostPollsDoNotEndLease) {
  EXPECT_LE(this->DelayOfEnd("a", milliseconds(1'900), 4), milliseconds(10));
}

// Guards against capacity that is held by runs that have ended: the report was
// due when the lost poll had timed out, 0.4 s after it was sent.
TEST_F(SilentEndpointTest, LostPollDelaysEndUntilItIsOverdue) {
  EXPECT_LE(this->DelayOfEnd("a", milliseconds(20), 1), milliseconds(282));
}

// As above; after the first loss, further polls wait beside the one that may be
// lost.
TEST_F(SilentEndpointTest, FurtherLostPollDelaysEndByATenthOfASecond) {
  this->orders.polls_to_lose = 1;
  ASSERT_TRUE(this->Start("a", seconds(5)));
  this->clock.Advance(milliseconds(700));
  // The poll in flight ends before this run, and the next one is lost.
  EXPECT_LE(this->DelayOfEnd("b", milliseconds(300), 1), milliseconds(102));
}

// Guards against more orders when nothing is lost.
TEST_F(SilentEndpointTest, PollsDoNotOverlapWhenNothingIsLost) {
  const int before = this->orders.polls;
  EXPECT_LE(this->DelayOfEnd("a", milliseconds(2'000), 0), milliseconds(2));
  // Eight waits of 250 ms, and the poll that acknowledges the end.
  EXPECT_LE(this->orders.polls - before, 10);
  EXPECT_EQ(this->metrics.Counter("runs.cover_polls"), 0U);
}

}  // namespace
}  // namespace hawthornwheel::testing
