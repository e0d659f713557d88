// Tests the rules for jobs on a manually advanced clock: deadlines, leases,
// retries, slots, submission keys, drain and quarantine.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>

#include "base/logger.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/drain_controller.h"
#include "dispatch/job_controller.h"
#include "support/small_fleet.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class JobRulesTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::SetLogLevel(base::LogLevel::kError);
    this->fleet.AddEndpoint("10.0.0.1:80", "north");
    this->fleet.AddEndpoint("10.0.0.2:80", "north");
    this->fleet.Publish("slots = 2\n[timeouts]\nlease = 1s\ntask = 4s\n");
    this->fleet.AddProcess("a", "north");
    this->fleet.Run(seconds(2));
  }

  const base::Metrics& MetricsOf(const std::string& name) {
    return this->fleet.Process(name).metrics;
  }

  void SetModes(EndpointMode mode) {
    for (auto& [address, endpoint] : this->fleet.endpoints.All()) {
      endpoint.mode = mode;
    }
  }

  SmallFleet fleet;
};

TEST_F(JobRulesTest, LongPauseDoesNotStartQueuedTasksAfterDeadline) {
  const auto answer =
      this->fleet.Submit("a", 8, milliseconds(500), milliseconds(2500));
  this->fleet.Run(milliseconds(100));
  ASSERT_EQ(this->fleet.Starts(), 4U);
  this->fleet.Process("a").clock.Pause();
  this->fleet.Run(seconds(60));
  this->fleet.Process("a").clock.Resume();
  this->fleet.Run(seconds(5));
  EXPECT_EQ(this->fleet.Starts(), 4U);
  EXPECT_EQ(answer->failure().execution(), wire::MAY_HAVE_RUN);
}

TEST_F(JobRulesTest, ShortPauseDoesNotStartQueuedTasksAfterDeadline) {
  // After the pause, the answers of the first tasks are processed before the
  // deadline timer fires.
  this->fleet.Submit("a", 8, milliseconds(200), milliseconds(500));
  this->fleet.Run(milliseconds(100));
  ASSERT_EQ(this->fleet.Starts(), 4U);
  this->fleet.Process("a").clock.Pause();
  this->fleet.Run(milliseconds(700));
  this->fleet.Process("a").clock.Resume();
  this->fleet.Run(seconds(5));
  EXPECT_EQ(this->fleet.Starts(), 4U);
}

TEST_F(JobRulesTest, LeaseExpiredDuringPauseIsUnknownOutcome) {
  const auto answer =
      this->fleet.Submit("a", 1, milliseconds(3500), seconds(30));
  this->fleet.Run(milliseconds(100));
  this->fleet.Process("a").clock.Pause();
  this->fleet.Run(seconds(2));
  this->fleet.Process("a").clock.Resume();
  // The task timeout has not passed yet, so only the expired lease can end the
  // attempt.
  this->fleet.Run(milliseconds(500));
  EXPECT_EQ(answer->failure().kind(), "outcome_unknown");
  EXPECT_EQ(answer->failure().execution(), wire::MAY_HAVE_RUN);
  EXPECT_EQ(this->fleet.Starts(), 1U);
}

TEST_F(JobRulesTest, LeasesOfLongTasksAreRenewed) {
  const auto answer =
      this->fleet.Submit("a", 1, milliseconds(3500), seconds(30));
  this->fleet.Run(seconds(5));
  EXPECT_EQ(answer->state(), wire::COMPLETE);
  EXPECT_GE(MetricsOf("a").Counter("attempts.renewals"), 3U);
}

TEST_F(JobRulesTest, TaskRefusedBeforeStartIsRetried) {
  this->fleet.endpoints.At("10.0.0.1:80").mode = EndpointMode::kRefusing;
  const auto answer = this->fleet.Submit("a", 1, milliseconds(50), seconds(5));
  this->fleet.Run(seconds(2));
  EXPECT_EQ(answer->state(), wire::COMPLETE);
}

TEST_F(JobRulesTest, RetryBudgetLimitsRetries) {
  SetModes(EndpointMode::kRefusing);
  std::vector<std::shared_ptr<wire::JobAnswer>> answers;
  for (int i = 0; i < 60; ++i) {
    answers.push_back(
        this->fleet.Submit("a", 1, milliseconds(20), seconds(30)));
    this->fleet.Run(milliseconds(100));
  }
  this->fleet.Run(seconds(30));
  const std::uint64_t started = MetricsOf("a").Counter("attempts.started");
  const std::uint64_t retries = MetricsOf("a").Counter("attempts.retries");
  // The budget initially permits 20 retries and gains a tenth of a retry per
  // start.
  EXPECT_LE(retries, 20U + started / 10 + 1);
  for (const auto& answer : answers) {
    EXPECT_EQ(answer->failure().execution(), wire::NOT_RUN);
  }
}

TEST_F(JobRulesTest, RunningTasksStayWithinServiceLimit) {
  this->fleet.Publish(
      "slots = 2\n[limits]\nmax_running_tasks = 3\n[timeouts]\nlease = 1s\n");
  this->fleet.Run(seconds(3));
  const auto answer =
      this->fleet.Submit("a", 12, milliseconds(100), seconds(30));
  for (int i = 0; i < 40; ++i) {
    this->fleet.Run(milliseconds(20));
    EXPECT_LE(this->fleet.Process("a")
                  .dispatcher.GetDispatchBoard()
                  .services.at("s")
                  .running_tasks,
              3U);
  }
  this->fleet.Run(seconds(5));
  EXPECT_EQ(answer->state(), wire::COMPLETE);
}

TEST_F(JobRulesTest, TaskWithUnknownOutcomeIsNotRetried) {
  this->fleet.endpoints.SetFaults(0, 1, 0);
  const auto answer = this->fleet.Submit("a", 1, milliseconds(50), seconds(20));
  this->fleet.Run(seconds(10));
  EXPECT_EQ(answer->failure().kind(), "outcome_unknown");
  EXPECT_EQ(this->fleet.Starts(), 1U);
}

TEST_F(JobRulesTest, LostStartRequestIsNotRetried) {
  this->fleet.endpoints.SetFaults(1, 0, 0);
  const auto answer = this->fleet.Submit("a", 1, milliseconds(50), seconds(20));
  this->fleet.Run(seconds(10));
  EXPECT_EQ(answer->failure().execution(), wire::MAY_HAVE_RUN);
  EXPECT_EQ(MetricsOf("a").Counter("attempts.started"), 1U);
}

TEST_F(JobRulesTest, FailedTaskStopsOtherTasksOfJob) {
  this->fleet.endpoints.At("10.0.0.2:80").mode = EndpointMode::kFailing;
  const auto answer = this->fleet.Submit("a", 8, seconds(3), seconds(20));
  this->fleet.Run(milliseconds(200));
  EXPECT_EQ(answer->failure().kind(), "task_failed");
  EXPECT_EQ(answer->results_size(), 0);
  EXPECT_EQ(this->fleet.endpoints.At("10.0.0.1:80").running, 0U);
  const std::uint64_t starts = this->fleet.Starts();
  this->fleet.Run(seconds(20));
  EXPECT_EQ(this->fleet.Starts(), starts);
}

TEST_F(JobRulesTest, UnconfirmedStopKeepsSlotUntilLeaseExpires) {
  SetModes(EndpointMode::kHanging);
  this->fleet.Submit("a", 4, seconds(1), milliseconds(500));
  this->fleet.Run(milliseconds(400));
  SetModes(EndpointMode::kDown);
  this->fleet.Run(milliseconds(200));
  const auto& board = this->fleet.Process("a").dispatcher.GetDispatchBoard();
  EXPECT_EQ(board.attempts.size(), 4U);
  this->fleet.Run(seconds(3));
  EXPECT_EQ(board.attempts.size(), 0U);
}

TEST_F(JobRulesTest, TaskTimeoutEndsTaskOfHangingEndpoint) {
  SetModes(EndpointMode::kHanging);
  const auto answer = this->fleet.Submit("a", 1, seconds(1), seconds(20));
  this->fleet.Run(seconds(6));
  EXPECT_EQ(answer->failure().kind(), "outcome_unknown");
}

TEST_F(JobRulesTest, RunningTasksStayWithinEndpointSlots) {
  for (int i = 0; i < 20; ++i) {
    this->fleet.Submit("a", 7, milliseconds(130), seconds(30));
  }
  this->fleet.Run(seconds(10));
  for (const auto& [address, endpoint] : this->fleet.endpoints.All()) {
    EXPECT_EQ(endpoint.max_running, 2U);
  }
}

TEST_F(JobRulesTest, JobQueuedPastDeadlineIsNotRun) {
  SetModes(EndpointMode::kHanging);
  this->fleet.Submit("a", 4, seconds(1), seconds(3));
  const auto late =
      this->fleet.Submit("a", 2, milliseconds(10), milliseconds(500));
  this->fleet.Run(seconds(1));
  EXPECT_EQ(late->failure().kind(), "deadline_exceeded");
  EXPECT_EQ(late->failure().execution(), wire::NOT_RUN);
}

// A job whose tasks cannot end in time was kept until an endpoint was free or
// its deadline had passed.
TEST_F(JobRulesTest, JobThatCannotEndInTimeIsRefusedAtOnce) {
  for (int i = 0; i < 10; ++i) {
    this->fleet.Submit("a", 4, milliseconds(500), seconds(5));
    this->fleet.Run(seconds(1));
  }
  this->fleet.Submit("a", 4, milliseconds(500), seconds(5));
  const auto late =
      this->fleet.Submit("a", 1, milliseconds(500), milliseconds(100));
  EXPECT_EQ(late->failure().kind(), "deadline_unreachable");
  EXPECT_EQ(late->failure().execution(), wire::NOT_RUN);
}

// A job failed when the free endpoint was too slow for its deadline, although a
// faster one was free shortly afterwards.
TEST(JobRouting, TaskWaitsForEndpointThatMeetsItsDeadline) {
  base::SetLogLevel(base::LogLevel::kError);
  SmallFleet fleet;
  fleet.dispatch_settings.routing = "least_loaded";
  fleet.AddEndpoint("10.0.0.1:80", "north");
  fleet.AddEndpoint("10.0.0.2:80", "north", 10);
  fleet.Publish("slots = 1\n[timeouts]\nlease = 1s\n");
  fleet.AddProcess("a", "north");
  fleet.Run(seconds(2));
  for (int i = 0; i < 60; ++i) {
    fleet.Submit("a", 2, milliseconds(100), seconds(30));
    fleet.Run(milliseconds(1'100));
  }
  // The fast endpoint is busy, the slow one is free.
  fleet.Submit("a", 1, milliseconds(100), seconds(30));
  fleet.Run(milliseconds(10));
  const auto answer =
      fleet.Submit("a", 1, milliseconds(100), milliseconds(400));
  fleet.Run(milliseconds(390));
  EXPECT_EQ(answer->state(), wire::COMPLETE);
}

TEST_F(JobRulesTest, ExpiredKeyIsRefusedAndNotRunAgain) {
  this->fleet.dispatch_settings.epoch_length = seconds(5);
  this->fleet.dispatch_settings.remembered_epochs = 2;
  this->fleet.AddProcess("b", "north");
  this->fleet.Run(seconds(2));
  const std::string key =
      this->fleet.Process("b").dispatcher.Jobs().CurrentPrefix() + "k";
  const auto first =
      this->fleet.Submit("b", 1, milliseconds(10), seconds(2), key);
  this->fleet.Run(seconds(1));
  ASSERT_EQ(first->state(), wire::COMPLETE);
  this->fleet.Run(seconds(20));
  const auto second =
      this->fleet.Submit("b", 1, milliseconds(10), seconds(2), key);
  EXPECT_EQ(second->failure().kind(), "key_expired");
  EXPECT_EQ(second->failure().execution(), wire::MAY_HAVE_RUN);
  EXPECT_EQ(this->fleet.Starts(), 1U);
  EXPECT_EQ(
      this->fleet.Process("b").dispatcher.GetJobController().RememberedKeys(),
      0U);
}

TEST_F(JobRulesTest, DrainCompletesQueuedAndRunningTasks) {
  const auto answer =
      this->fleet.Submit("a", 12, milliseconds(400), seconds(20));
  this->fleet.Run(milliseconds(100));
  bool done = false;
  this->fleet.Process("a").dispatcher.GetDrain().Begin([&] { done = true; });
  const auto refused = this->fleet.Submit("a", 1, milliseconds(10), seconds(2));
  EXPECT_EQ(refused->failure().kind(), "draining");
  this->fleet.Run(seconds(5));
  EXPECT_EQ(answer->state(), wire::COMPLETE);
  EXPECT_TRUE(done);
}

TEST_F(JobRulesTest, DrainTimeoutCancelsJobAsMayHaveRun) {
  SetModes(EndpointMode::kHanging);
  this->fleet.dispatch_settings.drain_timeout = seconds(2);
  this->fleet.AddProcess("b", "north");
  this->fleet.Run(seconds(5));
  const auto answer = this->fleet.Submit("b", 8, seconds(1), seconds(60));
  this->fleet.Run(milliseconds(100));
  bool done = false;
  this->fleet.Process("b").dispatcher.GetDrain().Begin([&] { done = true; });
  this->fleet.Run(seconds(8));
  EXPECT_EQ(answer->failure().kind(), "cancelled");
  EXPECT_EQ(answer->failure().execution(), wire::MAY_HAVE_RUN);
  EXPECT_TRUE(done);
}

TEST_F(JobRulesTest, FailingEndpointIsQuarantinedAndReleased) {
  this->fleet.endpoints.At("10.0.0.2:80").mode = EndpointMode::kFailing;
  for (int i = 0; i < 100; ++i) {
    this->fleet.Submit("a", 1, milliseconds(20), seconds(5));
    this->fleet.Run(milliseconds(30));
  }
  EXPECT_LT(this->fleet.endpoints.At("10.0.0.2:80").starts, 10U);
  this->fleet.endpoints.At("10.0.0.2:80").mode = EndpointMode::kNormal;
  const std::uint64_t before = this->fleet.endpoints.At("10.0.0.2:80").starts;
  for (int i = 0; i < 2000; ++i) {
    this->fleet.Submit("a", 4, milliseconds(20), seconds(5));
    this->fleet.Run(milliseconds(30));
  }
  EXPECT_GT(this->fleet.endpoints.At("10.0.0.2:80").starts, before + 1000);
}

TEST_F(JobRulesTest, FailureOfAllEndpointsLeavesOneHealthy) {
  SetModes(EndpointMode::kFailing);
  for (int i = 0; i < 200; ++i) {
    this->fleet.Submit("a", 1, milliseconds(20), seconds(5));
    this->fleet.Run(milliseconds(30));
  }
  const auto& board = this->fleet.Process("a").dispatcher.GetDispatchBoard();
  std::uint32_t healthy = 0;
  for (const auto& [address, endpoint] : board.endpoints) {
    healthy += endpoint->health == dispatch::EndpointHealth::kHealthy ? 1 : 0;
  }
  EXPECT_GE(healthy, 1U);
}

}  // namespace
}  // namespace hawthornwheel::testing
