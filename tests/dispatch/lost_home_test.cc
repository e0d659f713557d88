// Checks what a caller is told when the home of its key is gone. Only the home
// may decide about a key, so another process can only say that the job may have
// run, but it must not keep the caller waiting.

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "base/logger.h"
#include "support/small_fleet.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time in which a caller must learn that the home does not answer.
constexpr base::Duration kMaxTimeToAnswer = milliseconds(1'500);

class LostHomeTest : public ::testing::TestWithParam<const char*> {
 protected:
  void SetUp() override {
    base::SetLogLevel(base::LogLevel::kError);
    this->fleet.AddEndpoint("10.0.0.1:80", "north");
    this->fleet.AddEndpoint("10.0.0.2:80", "south");
    this->fleet.Publish("slots = 2\n[timeouts]\nlease = 1s\ntask = 8s\n");
    this->fleet.AddProcess("a", "north");
    this->fleet.AddProcess("b", GetParam());
    // Relays of different domains exchange heartbeats every 6 s.
    this->fleet.Run(seconds(15));
  }

  std::string KeyOf(const std::string& home) {
    return this->fleet.Process(home).dispatcher.Jobs().CurrentPrefix() + "x";
  }

  SmallFleet fleet;
};

// Guards against a caller that waited for the whole timeout of its job: the
// request went to the address of the killed process.
TEST_P(LostHomeTest, CallerIsToldSoonThatJobMayHaveRun) {
  const std::string key = this->KeyOf("a");
  this->fleet.Submit("a", 1, seconds(3), seconds(30), key);
  this->fleet.Run(milliseconds(500));
  this->fleet.Kill("a");
  this->fleet.Run(seconds(2));
  const auto answer = this->fleet.Submit("b", 1, seconds(3), seconds(30), key);
  this->fleet.Run(kMaxTimeToAnswer);
  EXPECT_EQ(answer->state(), wire::FAILED);
  EXPECT_EQ(answer->failure().kind(), "home_unreachable");
  EXPECT_EQ(answer->failure().execution(), wire::MAY_HAVE_RUN);
}

TEST_P(LostHomeTest, WaitingCallerIsToldWhenHomeIsKilled) {
  const auto answer =
      this->fleet.Submit("b", 1, seconds(3), seconds(30), this->KeyOf("a"));
  this->fleet.Run(milliseconds(500));
  EXPECT_EQ(answer->state(), wire::JobState{});
  this->fleet.Kill("a");
  this->fleet.Run(kMaxTimeToAnswer + seconds(1));
  EXPECT_EQ(answer->failure().kind(), "home_unreachable");
  EXPECT_EQ(answer->failure().execution(), wire::MAY_HAVE_RUN);
}

TEST_P(LostHomeTest, HomeThatIsKnownToBeLostIsReportedAtOnce) {
  const std::string key = this->KeyOf("a");
  this->fleet.Kill("a");
  this->fleet.Run(seconds(60));
  const auto answer = this->fleet.Submit("b", 1, seconds(3), seconds(30), key);
  EXPECT_EQ(answer->failure().kind(), "home_unreachable");
}

TEST_P(LostHomeTest, JobOfLiveHomeIsAnsweredThroughAnotherProcess) {
  const auto answer =
      this->fleet.Submit("b", 1, seconds(5), seconds(30), this->KeyOf("a"));
  this->fleet.Run(seconds(8));
  EXPECT_EQ(answer->state(), wire::COMPLETE);
  EXPECT_EQ(this->fleet.Starts(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Domains, LostHomeTest,
                         ::testing::Values("north", "south"),
                         [](const auto& info) {
                           return std::string("OtherProcessIn_") + info.param;
                         });

}  // namespace
}  // namespace hawthornwheel::testing
