// Checks the runs that a coordinator has open when it loses its role to a
// stronger process that is back: they end in time when it or the other side is
// lost, and go on for as long as they take otherwise.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using jobs::JobAnswer;
using jobs::JobEnd;
using runs::RunEndKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPath[] = "/l/";
constexpr char kStrong[] = "north-strong";
constexpr char kWeak[] = "north-weak0";
constexpr char kOtherWeak[] = "north-weak1";
constexpr char kSouth[] = "south0";
constexpr char kSouthEndpoint[] = "south-e0";
constexpr char kSouthLabel[] = "rack-south";
constexpr std::uint32_t kStrongWeight = 50;
constexpr std::uint32_t kWeakWeight = 9;
// Time after which a caller that has lost its connection submits its job again.
constexpr base::Duration kResendTime = milliseconds(1'300);

// The domain north has a strong process, which is down at first, and two weak
// ones, which coordinate until it is back. South has two coordinators.
class RoleChangeTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->fleet.Publish("1 /l/:1:60000");
    for (int i = 0; i < 6; ++i) {
      this->fleet.AddEndpoint("north-e" + std::to_string(i), "north", 16'000, 1,
                              1, "rack-north");
    }
    this->fleet.AddEndpoint(kSouthEndpoint, "south", 64'000, 1, 1, kSouthLabel);
    this->fleet.AddProcess(kWeak, "north", kWeakWeight);
    this->fleet.AddProcess(kOtherWeak, "north", kWeakWeight);
    this->fleet.AddProcess(kSouth, "south", kStrongWeight);
    this->fleet.AddProcess("south1", "south", kStrongWeight);
    this->fleet.Run(seconds(5));
    ASSERT_TRUE(this->IsCoordinator(kWeak));
    ASSERT_TRUE(this->IsCoordinator(kOtherWeak));
  }

  void TearDown() override {
    EXPECT_TRUE(this->fleet.endpoints.Violations().empty())
        << this->fleet.endpoints.Violations().front();
  }

  bool IsCoordinator(const std::string& process) {
    return this->fleet.Process(process).cluster.Board().is_coordinator;
  }

  // Returns a job of one task that needs an endpoint with `label`.
  jobs::JobRequest NewJob(const std::string& label, base::Duration time) {
    jobs::JobRequest request =
        this->fleet.NewRequest(kPath, 1, time, time, RunEndKind::kDone);
    request.required_label = label;
    return request;
  }

  std::shared_ptr<std::optional<JobAnswer>> Submit(
      const std::string& process, const jobs::JobRequest& request) {
    auto answer = std::make_shared<std::optional<JobAnswer>>();
    this->fleet.Process(process).relay.Submit(
        request, [answer](const JobAnswer& given) { *answer = given; });
    return answer;
  }

  // Starts the strong process and waits until the weak ones are entries.
  void StartStrongProcess() {
    this->fleet.AddProcess(kStrong, "north", kStrongWeight);
    for (int i = 0; i < 20; ++i) {
      if (!this->IsCoordinator(kWeak) && !this->IsCoordinator(kOtherWeak))
        return;
      this->fleet.Run(milliseconds(50));
    }
    FAIL() << "the weak processes still coordinate";
  }

  std::size_t RunsInNorth() const {
    std::size_t runs = 0;
    for (int i = 0; i < 6; ++i) {
      runs += this->fleet.endpoints.RunningAt("north-e" + std::to_string(i));
    }
    return runs;
  }

  HostedFleet fleet;
};

// Guards against TWICE (review/6): the holders in other domains noticed the
// loss of a former coordinator after 4 s, when a copy of its job was at work.
TEST_F(RoleChangeTest, RunsElsewhereEndWhenFormerCoordinatorIsLost) {
  const jobs::JobRequest job = this->NewJob(kSouthLabel, seconds(6));
  this->Submit(kWeak, job);
  this->fleet.Run(milliseconds(50));
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kSouthEndpoint), 1U);
  this->StartStrongProcess();
  this->fleet.Run(milliseconds(300));
  this->fleet.Kill(kWeak);
  this->fleet.Run(kResendTime);
  EXPECT_EQ(this->fleet.endpoints.RunningAt(kSouthEndpoint), 0U);
  this->Submit(kSouth, job);
  this->fleet.Run(seconds(7));
  EXPECT_EQ(this->fleet.endpoints.DoneOf(job.payload), 1U);
}

// The same for a task that the former coordinator places after it has lost its
// role, just before it is lost: the holder must not expect the next heartbeat
// after the long interval of an entry.
TEST_F(RoleChangeTest, RunPlacedAfterRoleChangeEndsWhenItsProcessIsLost) {
  std::string holder = kSouth;
  if (!this->fleet.Process(holder).pool.Sessions().contains(kSouthEndpoint)) {
    holder = "south1";
  }
  this->StartStrongProcess();
  this->fleet.Run(milliseconds(500));
  const jobs::JobRequest job = this->NewJob(kSouthLabel, seconds(6));
  runs::TaskOrder order;
  order.task = job.id + ".0.0.0";
  order.run = 1;
  order.endpoint = kSouthEndpoint;
  order.payload = job.payload;
  order.resources = job.resources;
  order.estimate = job.estimate;
  order.time_left = seconds(30);
  runs::RunHandlers handlers;
  handlers.on_end = [](runs::RunOutcome) {};
  this->fleet.Process(kWeak).remote.Place(holder, order, std::move(handlers));
  this->fleet.Run(milliseconds(20));
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kSouthEndpoint), 1U);
  this->fleet.Kill(kWeak);
  this->fleet.Run(kResendTime);
  EXPECT_EQ(this->fleet.endpoints.RunningAt(kSouthEndpoint), 0U);
}

// Guards against TWICE (review/6, within a domain): two former coordinators
// exchange heartbeats as entries do, but the one still holds an endpoint at
// which a task of the other is at work.
TEST_F(RoleChangeTest, RunsAtOtherFormerCoordinatorEndWhenTheirProcessIsLost) {
  for (int i = 0; i < 12; ++i) {
    this->Submit(kWeak, this->NewJob("rack-north", seconds(6)));
  }
  this->fleet.Run(milliseconds(100));
  ASSERT_GT(this->fleet.Process(kOtherWeak).remote.HostedTaskCount(), 0U);
  this->StartStrongProcess();
  this->fleet.Run(milliseconds(300));
  ASSERT_GT(this->fleet.Process(kOtherWeak).remote.HostedTaskCount(), 0U);
  this->fleet.Kill(kWeak);
  this->fleet.Run(kResendTime);
  EXPECT_EQ(this->RunsInNorth(), 0U);
}

// Guards against a caller that waits for up to 4 s before it learns that the
// process that runs its job is lost: both have become entries since.
TEST_F(RoleChangeTest, LossOfFormerCoordinatorIsAnsweredInTime) {
  const jobs::JobRequest job = this->NewJob("rack-north", seconds(6));
  std::shared_ptr<std::optional<JobAnswer>> answer;
  // Makes the second weak process an entry that forwards its jobs to the first.
  this->fleet.Process(kOtherWeak).cluster.SetWeight(1);
  this->fleet.Run(seconds(3));
  ASSERT_FALSE(this->IsCoordinator(kOtherWeak));
  answer = this->Submit(kOtherWeak, job);
  this->fleet.Run(milliseconds(100));
  ASSERT_EQ(this->fleet.Process(kOtherWeak).relay.ForwardedJobCount(), 1U);
  this->StartStrongProcess();
  this->fleet.Run(milliseconds(300));
  this->fleet.Kill(kWeak);
  // Four heartbeat intervals of 0.2 s, and the check every 0.2 s.
  this->fleet.Run(milliseconds(1'050));
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ((*answer)->end, JobEnd::kInterrupted);
}

// Guards against a run that counts as lost 5 s after a change of roles, since
// its process and its holder forgot each other while it was at work.
TEST_F(RoleChangeTest, LongRunOfFormerCoordinatorIsServed) {
  const jobs::JobRequest job = this->NewJob(kSouthLabel, seconds(20));
  const auto answer = this->Submit(kWeak, job);
  this->fleet.Run(milliseconds(50));
  this->StartStrongProcess();
  this->fleet.Run(seconds(21));
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ((*answer)->end, JobEnd::kComplete);
  EXPECT_EQ(this->fleet.endpoints.StartsOf(job.payload), 1U);
}

// The same for a holder that has lost its role.
TEST_F(RoleChangeTest, LongRunAtFormerCoordinatorIsServed) {
  const jobs::JobRequest job = this->NewJob("rack-north", seconds(20));
  const auto answer = this->Submit(kSouth, job);
  this->fleet.Run(milliseconds(50));
  ASSERT_EQ(this->RunsInNorth(), 1U);
  this->StartStrongProcess();
  this->fleet.Run(seconds(21));
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ((*answer)->end, JobEnd::kComplete);
  EXPECT_EQ(this->fleet.endpoints.StartsOf(job.payload), 1U);
}

// Guards against TWICE: a former coordinator, forgotten by the other domains,
// did not tell them of its open job, and a copy of it was placed there.
TEST_F(RoleChangeTest, CopyWaitsForLongRunOfFormerCoordinator) {
  const jobs::JobRequest job = this->NewJob("rack-north", seconds(20));
  this->Submit(kWeak, job);
  this->fleet.Run(milliseconds(50));
  this->StartStrongProcess();
  this->fleet.Run(seconds(8));
  ASSERT_EQ(this->RunsInNorth(), 1U);
  this->Submit(kSouth, job);
  this->fleet.Run(seconds(3));
  EXPECT_EQ(this->fleet.endpoints.StartsOf(job.payload), 1U);
}

// Guards against heartbeats to entries of other domains that never end.
TEST_F(RoleChangeTest, HeartbeatsEndAfterTheLastRun) {
  const jobs::JobRequest job = this->NewJob(kSouthLabel, seconds(8));
  this->Submit(kWeak, job);
  this->fleet.Run(milliseconds(50));
  this->StartStrongProcess();
  this->fleet.Run(seconds(20));
  for (const auto& process : this->fleet.processes) {
    const auto& members = process->cluster.Board().members;
    if (process->name == kSouth) {
      EXPECT_EQ(process->cluster.Board().FindLive(kWeak), nullptr);
    }
    if (process->name == kWeak) {
      EXPECT_TRUE(members.at(kSouth).unrelated);
    }
  }
}

}  // namespace
}  // namespace hawthornwheel::testing
