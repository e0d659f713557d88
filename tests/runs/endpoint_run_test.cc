#include "runs/endpoint_run.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>

#include "support/manual_clock.h"

namespace hawthornwheel::testing {
namespace {

using runs::EndpointRun;
using runs::RunOutcome;
using std::chrono::milliseconds;

class EndpointRunTest : public ::testing::Test {
 protected:
  EndpointRunTest() {
    this->run.fence = 5;
    this->run.timer = std::make_unique<base::Timer>(this->clock);
    this->run.timer->StartOnce(milliseconds(80), [] {});
  }

  ManualClock clock;
  EndpointRun run;
};

TEST_F(EndpointRunTest, AbsentRunWithoutAnswerIsUnconfirmedUnderHigherToken) {
  EXPECT_EQ(this->run.OutcomeIfAbsent(4), std::nullopt);
  EXPECT_EQ(this->run.OutcomeIfAbsent(5), std::nullopt);
  EXPECT_EQ(this->run.OutcomeIfAbsent(6), RunOutcome::kUnconfirmed);
}

TEST_F(EndpointRunTest, AbsentRunOfAnsweredStartIsNotSettled) {
  this->run.start_answered = true;
  EXPECT_EQ(this->run.OutcomeIfAbsent(6), std::nullopt);
}

TEST_F(EndpointRunTest, AbsentRunOfAnotherProcessIsNotSettled) {
  this->run.foreign = true;
  EXPECT_EQ(this->run.OutcomeIfAbsent(6), std::nullopt);
}

TEST_F(EndpointRunTest, ListedRunIsRunning) {
  this->run.OnListed(7);
  EXPECT_EQ(this->run.state, EndpointRun::State::kRunning);
  EXPECT_FALSE(this->run.timer->IsActive());
  EXPECT_EQ(this->run.OutcomeIfAbsent(6), std::nullopt);
}

TEST_F(EndpointRunTest, ListedRunThatIsBeingStoppedStaysSo) {
  this->run.state = EndpointRun::State::kStopping;
  this->run.OnListed(7);
  EXPECT_EQ(this->run.state, EndpointRun::State::kStopping);
  EXPECT_TRUE(this->run.timer->IsActive());
}

TEST_F(EndpointRunTest, RunThatWasListedIsLostAtRestart) {
  this->run.OnListed(7);
  EXPECT_TRUE(this->run.OnRestart());
}

// Either incarnation may have accepted the start.
TEST_F(EndpointRunTest, AcceptedRunIsSettledByListAfterRestart) {
  this->run.start_answered = true;
  this->run.stop_clock_ms = 1'000;
  EXPECT_FALSE(this->run.OnRestart());
  EXPECT_EQ(this->run.stop_clock_ms, 0);
  EXPECT_EQ(this->run.OutcomeIfAbsent(5), std::nullopt);
  EXPECT_EQ(this->run.OutcomeIfAbsent(6), RunOutcome::kLost);
  this->run.OnListed(8);
  EXPECT_EQ(this->run.OutcomeIfAbsent(6), std::nullopt);
}

TEST_F(EndpointRunTest, StoppedRunIsAbsentOnceStopTimeHasPassed) {
  this->run.stop_clock_ms = 1'000;
  EXPECT_FALSE(this->run.HasStoppedBy(2'000, milliseconds(50)));
  this->run.state = EndpointRun::State::kStopping;
  EXPECT_FALSE(this->run.HasStoppedBy(1'050, milliseconds(50)));
  EXPECT_TRUE(this->run.HasStoppedBy(1'051, milliseconds(50)));
  // The endpoint has not accepted the stop yet.
  this->run.stop_clock_ms = 0;
  EXPECT_FALSE(this->run.HasStoppedBy(2'000, milliseconds(50)));
}

TEST_F(EndpointRunTest, LongRunIsWatchedWhileItIsYoung) {
  this->run.started = this->clock.Now();
  this->run.order.estimate = milliseconds(349);
  EXPECT_FALSE(this->run.IsWatched(this->clock.Now()));
  this->run.order.estimate = milliseconds(350);
  EXPECT_TRUE(this->run.IsWatched(this->clock.Now()));
  this->clock.Advance(milliseconds(500));
  EXPECT_FALSE(this->run.IsWatched(this->clock.Now()));
}

}  // namespace
}  // namespace hawthornwheel::testing
