// Checks which heartbeats processes of a fleet with roles exchange, and that a
// hand-over of endpoints waits until the heartbeats of their holders are known.

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using jobs::JobEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPath[] = "/a/";
constexpr std::uint32_t kStrongWeight = 50;
constexpr std::uint32_t kWeakWeight = 9;
// A caller that has lost its connection submits the job again after this time.
// Its earlier tasks must not run any longer by then.
constexpr base::Duration kResendTime = milliseconds(1'300);

// Starts a coordinator and an entry in each of two domains, and lets them be
// idle for longer than any heartbeat interval.
class HeartbeatTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->fleet.Publish("1 /a/:1");
    for (const std::string domain : {"north", "south"}) {
      for (int i = 0; i < kEndpointsPerDomain; ++i) {
        this->fleet.AddEndpoint(domain + "-e" + std::to_string(i), domain);
      }
      this->fleet.AddProcess(domain + "-strong", domain, kStrongWeight);
      this->fleet.AddProcess(domain + "-weak", domain, kWeakWeight);
    }
    this->fleet.Run(seconds(20));
  }

  double MessagesPerSecond(const std::string& process, base::Duration span) {
    const auto before = this->fleet.network.SentBy(process).messages;
    this->fleet.Run(span);
    const auto sent = this->fleet.network.SentBy(process).messages - before;
    return static_cast<double>(sent) / (span / seconds(1));
  }

  static constexpr int kEndpointsPerDomain = 2;
  HostedFleet fleet;
};

// Guards against heartbeats that grow with the square of the fleet: after a
// change of its role, a process kept sending to all entries of other domains.
TEST_F(HeartbeatTest, EntriesOfOtherDomainsGetNoHeartbeats) {
  constexpr double kShortRate = 5;
  // One entry of its domain and one coordinator of the other.
  EXPECT_LE(this->MessagesPerSecond("north-strong", seconds(10)),
            2 * kShortRate + 0.1);
  EXPECT_LE(this->MessagesPerSecond("north-weak", seconds(10)),
            kShortRate + 0.1);
}

// Guards against a job that waits for its deadline because the loss of a
// coordinator that was idle is noticed late.
TEST_F(HeartbeatTest, LossOfIdleCoordinatorIsNoticedAfterFirstJob) {
  this->fleet.Run(milliseconds(700));
  this->fleet.Kill("north-strong");
  const auto answer =
      this->fleet.Submit("north-weak", kPath, 1, milliseconds(300));
  this->fleet.Run(milliseconds(1'050));
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ((*answer)->end, JobEnd::kInterrupted);
}

// Guards against tasks that run twice: the caller of a killed entry submits its
// job again elsewhere.
TEST_F(HeartbeatTest, TasksOfEntryLostAfterIdleTimeEndBeforeResend) {
  this->fleet.Submit("north-weak", kPath, 2, milliseconds(1'400));
  this->fleet.Run(milliseconds(50));
  ASSERT_GT(this->fleet.endpoints.RunningAt("north-e0") +
                this->fleet.endpoints.RunningAt("north-e1"),
            0U);
  this->fleet.Kill("north-weak");
  this->fleet.Run(kResendTime);
  EXPECT_EQ(this->fleet.endpoints.RunningAt("north-e0"), 0U);
  EXPECT_EQ(this->fleet.endpoints.RunningAt("north-e1"), 0U);
}

// Load pattern: a domain without free capacity beside an idle one.
TEST_F(HeartbeatTest, WaitingTasksUseIdleDomainAtOnce) {
  for (int i = 0; i < 4; ++i) {
    this->fleet.Submit("north-weak", kPath, 1, milliseconds(900));
  }
  this->fleet.Run(milliseconds(50));
  const auto answer =
      this->fleet.Submit("north-weak", kPath, 2, milliseconds(300));
  this->fleet.Run(milliseconds(450));
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ((*answer)->end, JobEnd::kComplete);
}

// Load pattern: all processes start at the same time, as after a loss of power.
// Guards against domains that hear from each other a second late: their
// coordinators probed and claimed the endpoints of all other domains meanwhile.
TEST(ColdStartTest, DomainsKnowEachOtherBeforeTheyClaimEndpointsOutside) {
  constexpr int kDomains = 3;
  HostedFleet fleet;
  fleet.Publish("1 /a/:1");
  std::vector<std::string> names;
  for (int domain = 0; domain < kDomains; ++domain) {
    const std::string name = "d" + std::to_string(domain);
    for (int i = 0; i < 4; ++i) {
      fleet.AddEndpoint(name + "-e" + std::to_string(i), name);
    }
    for (int i = 0; i < 2; ++i) {
      names.push_back(name + "-p" + std::to_string(i));
      fleet.AddProcess(names.back(), name);
      fleet.Run(milliseconds(40));
    }
  }
  for (int i = 0; i < 40; ++i) {
    fleet.Run(milliseconds(100));
    for (const std::string& name : names) {
      HostedProcess& process = fleet.Process(name);
      for (const auto& [id, session] : process.pool.Sessions()) {
        EXPECT_EQ(session->Entry().domain, process.domain)
            << name << " after " << (i + 1) * 100 << " ms";
      }
    }
    if (i < 9) continue;
    for (const std::string& name : names) {
      EXPECT_EQ(fleet.Process(name).cluster.Board().coordinators.size(),
                names.size())
          << name << " after " << (i + 1) * 100 << " ms";
    }
  }
}

// Guards against a hand-over in which both processes act: an entry that becomes
// a coordinator does not know yet which endpoints the other coordinator holds.
TEST(PromotedEntryTest, DoesNotTakeEndpointsFromTheirHolder) {
  HostedFleet fleet;
  fleet.Publish("1 /a/:1");
  for (int i = 0; i < 12; ++i) {
    fleet.AddEndpoint("e" + std::to_string(i), "north");
  }
  fleet.AddProcess("first", "north", 100);
  fleet.AddProcess("second", "north", 50);
  fleet.AddProcess("entry", "north", 40);
  fleet.Run(seconds(10));
  std::vector<std::shared_ptr<std::optional<jobs::JobAnswer>>> answers;
  fleet.Kill("first");
  fleet.Run(milliseconds(400));
  for (int i = 0; i < 4; ++i) {
    answers.push_back(fleet.Submit("second", kPath, 1, milliseconds(1'000)));
  }
  fleet.Run(milliseconds(1'400));
  EXPECT_TRUE(fleet.Process("entry").cluster.Board().is_coordinator);
  for (const auto& answer : answers) {
    ASSERT_TRUE(answer->has_value());
    EXPECT_EQ((*answer)->end, JobEnd::kComplete);
  }
  EXPECT_EQ(fleet.Process("second").metrics.Counter("runs.ended.lost"), 0U);
  EXPECT_TRUE(fleet.endpoints.Violations().empty());
}

}  // namespace
}  // namespace hawthornwheel::testing
