// Checks copies of a job that reach a coordinator which knows nothing of the
// earlier submission, while a run of that submission is in progress.

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using jobs::JobEnd;
using runs::RunEndKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPath[] = "/a/";
constexpr char kLongTimeoutPath[] = "/l/";
constexpr char kNorthEndpoint[] = "north-e0";
constexpr char kSouthEndpoint[] = "south-e0";
// Time after which a caller without a final answer sends its job again.
constexpr base::Duration kRepeatDelay = milliseconds(1'300);

// Two failure domains with one large endpoint and two coordinators each. A long
// run at the endpoint of north keeps the lease of all runs there renewed.
class CopiedJobTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->fleet.Publish("1 /a/:1 /l/:1:60000");
    for (const char* domain : {"north", "south"}) {
      this->fleet.AddEndpoint(std::string(domain) + "-e0", domain, 64'000);
      for (int i = 0; i < 2; ++i) {
        this->fleet.AddProcess(std::string(domain) + std::to_string(i), domain);
      }
    }
    this->fleet.Run(seconds(2));
    this->fleet.Submit("north0", kLongTimeoutPath, 1, seconds(15));
    this->fleet.Run(milliseconds(50));
    ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 1U);
  }

  void TearDown() override {
    EXPECT_TRUE(this->fleet.endpoints.Violations().empty())
        << this->fleet.endpoints.Violations().front();
  }

  // Returns the process of north that holds its endpoint, or the other one.
  std::string NorthProcess(bool holder) {
    const bool north0_holds =
        this->fleet.Process("north0").pool.Sessions().contains(kNorthEndpoint);
    return north0_holds == holder ? "north0" : "north1";
  }

  // Returns a job of one task.
  jobs::JobRequest NewJob(base::Duration time, base::Duration estimate) {
    return this->fleet.NewRequest(kPath, 1, time, estimate, RunEndKind::kDone);
  }

  std::uint64_t Submit(const std::string& process,
                       const jobs::JobRequest& request) {
    return this->fleet.Process(process).relay.Submit(
        request,
        [this](const jobs::JobAnswer& reply) { this->answer = reply; });
  }

  // Submits a job whose run lasts for seconds, and gives it up while it is at
  // work in north.
  void SubmitAndAbandon(const std::string& process,
                        const jobs::JobRequest& request) {
    const std::uint64_t caller = this->Submit(process, request);
    this->fleet.Run(milliseconds(50));
    ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
    this->fleet.Process(process).relay.Abandon(request.id, caller);
    this->answer.reset();
  }

  // Makes runs go on: their stops are lost, and the leases that are not renewed
  // for their sake do not end them either.
  void LoseStops(bool lost) {
    LeasedEndpoints::Faults faults;
    faults.stops_lost = lost ? 1 : 0;
    faults.leases_ignored = lost;
    this->fleet.endpoints.SetFaults(faults);
  }

  std::uint64_t StartsOf(const jobs::JobRequest& request) const {
    return this->fleet.endpoints.StartsOf(request.payload);
  }

  HostedFleet fleet;
  /// Latest answer to Submit().
  std::optional<jobs::JobAnswer> answer;
};

TEST_F(CopiedJobTest, CopyStartsAtOnceWhenEarlierRunHasEnded) {
  const jobs::JobRequest job = this->NewJob(seconds(6), milliseconds(300));
  this->SubmitAndAbandon(this->NorthProcess(false), job);
  this->fleet.Run(kRepeatDelay);
  this->Submit("south0", job);
  this->fleet.Run(milliseconds(20));
  EXPECT_EQ(this->StartsOf(job), 2U);
}

// Guards against TWICE (issue 38): a copy started in another failure domain
// while the run of the first submission went on, since its stop was lost.
TEST_F(CopiedJobTest, CopyInAnotherDomainWaitsForRunThatIsBeingStopped) {
  const jobs::JobRequest job = this->NewJob(seconds(6), milliseconds(300));
  this->LoseStops(true);
  this->SubmitAndAbandon(this->NorthProcess(false), job);
  this->fleet.Run(kRepeatDelay);
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
  this->Submit("south0", job);
  this->fleet.Run(seconds(1));
  EXPECT_EQ(this->StartsOf(job), 1U);
  // The earlier run may have had effects, so the copy is not refused.
  ASSERT_TRUE(this->answer.has_value());
  EXPECT_EQ(this->answer->end, JobEnd::kInterrupted);
  this->LoseStops(false);
  this->fleet.Run(milliseconds(700));
  this->Submit("south0", job);
  this->fleet.Run(milliseconds(20));
  EXPECT_EQ(this->StartsOf(job), 2U);
}

// Guards against TWICE (issue 38): the coordinator of the first submission was
// lost, and only the holder of the endpoint knew of the run.
TEST_F(CopiedJobTest, CopyWaitsForRunWhoseCoordinatorWasLost) {
  const jobs::JobRequest job = this->NewJob(seconds(6), milliseconds(300));
  const std::string coordinator = this->NorthProcess(false);
  this->LoseStops(true);
  this->Submit(coordinator, job);
  this->fleet.Run(milliseconds(50));
  this->fleet.Kill(coordinator);
  this->fleet.Run(kRepeatDelay);
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
  this->Submit("south0", job);
  this->fleet.Run(seconds(1));
  EXPECT_EQ(this->StartsOf(job), 1U);
}

// Guards against TWICE (issue 38): the holder of the run got the copy, and
// placed it at an endpoint of another process. Messages of the coordinator do
// not reach the holder, which therefore has no report.
TEST_F(CopiedJobTest, CopyAtHolderOfEndpointWaitsForRunOfOtherCoordinator) {
  const jobs::JobRequest job = this->NewJob(seconds(6), milliseconds(300));
  const std::string coordinator = this->NorthProcess(false);
  const std::string holder = this->NorthProcess(true);
  this->LoseStops(true);
  const std::uint64_t caller = this->Submit(coordinator, job);
  this->fleet.Run(milliseconds(50));
  this->fleet.network.Cut(coordinator, holder);
  this->fleet.Process(coordinator).relay.Abandon(job.id, caller);
  this->answer.reset();
  this->fleet.Run(kRepeatDelay);
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
  this->Submit(holder, job);
  this->fleet.Run(seconds(1));
  EXPECT_EQ(this->StartsOf(job), 1U);
}

// Guards against TWICE (issue 38): a caller lost its connection, which the
// process that took the job had not noticed when the copy arrived.
TEST_F(CopiedJobTest, CopyWaitsForSubmissionThatIsStillOpen) {
  const jobs::JobRequest job =
      this->NewJob(milliseconds(1'450), milliseconds(1'200));
  this->Submit(this->NorthProcess(false), job);
  this->fleet.Run(milliseconds(1'350));
  ASSERT_EQ(this->StartsOf(job), 1U);
  this->Submit("south0", job);
  this->fleet.Run(seconds(2));
  EXPECT_GT(this->fleet.endpoints.DoneOf(job.payload), 0U);
}

// Guards against TWICE (issue 38): the report of a coordinator was dropped when
// it restarted, before the new holder of its endpoint had found the run.
TEST_F(CopiedJobTest, ReportOutlastsRestartOfCoordinator) {
  const jobs::JobRequest job = this->NewJob(seconds(6), milliseconds(300));
  const std::string holder = this->NorthProcess(true);
  this->LoseStops(true);
  this->SubmitAndAbandon(holder, job);
  this->fleet.Run(milliseconds(500));
  this->fleet.Kill(holder);
  this->fleet.Run(milliseconds(650));
  this->fleet.AddProcess(holder, "north");
  this->fleet.Run(kRepeatDelay - milliseconds(1'150));
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
  this->Submit("south0", job);
  this->fleet.Run(milliseconds(300));
  EXPECT_EQ(this->StartsOf(job), 1U);
}

// Guards against TWICE (issue 38): the holder of the run was paused just before
// it noticed the loss of the coordinator, whose report lapsed before the lease.
TEST_F(CopiedJobTest, ReportOutlastsLeaseWhenHolderIsPausedAfterCoordinator) {
  const jobs::JobRequest job = this->NewJob(seconds(6), milliseconds(300));
  const std::string coordinator = this->NorthProcess(false);
  const std::string holder = this->NorthProcess(true);
  this->LoseStops(true);
  this->SubmitAndAbandon(coordinator, job);
  this->fleet.Run(milliseconds(500));
  this->fleet.Kill(coordinator);
  this->fleet.Run(milliseconds(700));
  this->fleet.Process(holder).clock.Pause();
  this->fleet.Run(milliseconds(850));
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
  this->Submit("south0", job);
  this->fleet.Run(milliseconds(500));
  EXPECT_EQ(this->StartsOf(job), 1U);
}

// Guards against TWICE (review/7): the coordinator of a job that was too young
// to be reported was lost, and then, before it noticed that, the holder of its
// run, whose lease outlasts the time until the copy.
TEST_F(CopiedJobTest, CopyWaitsForRunWhoseCoordinatorAndHolderWereLost) {
  const jobs::JobRequest job = this->fleet.NewRequest(
      kLongTimeoutPath, 1, seconds(6), seconds(6), RunEndKind::kDone);
  const std::string coordinator = this->NorthProcess(false);
  const std::string holder = this->NorthProcess(true);
  this->Submit(coordinator, job);
  this->fleet.Run(milliseconds(250));
  this->fleet.Kill(coordinator);
  this->fleet.Run(milliseconds(590));
  this->fleet.Kill(holder);
  this->fleet.Run(kRepeatDelay - milliseconds(590));
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
  this->Submit("south0", job);
  this->fleet.Run(milliseconds(250));
  EXPECT_EQ(this->StartsOf(job), 1U);
  this->fleet.Run(seconds(2));
  EXPECT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 0U);
}

// Guards against TWICE (review/7): the same, and the copy reaches the process
// that took the place of the coordinator after the holder was lost, and so has
// no report of the holder.
TEST_F(CopiedJobTest, CopyAtRestartedCoordinatorWaitsForRunAtLostHolder) {
  this->fleet.AddProcess("west0", "west");
  this->fleet.Run(seconds(3));
  // Leaves no room in south until the copy comes.
  this->fleet.Submit("south0", kLongTimeoutPath, 9, milliseconds(600));
  this->fleet.Run(milliseconds(50));
  const jobs::JobRequest job = this->fleet.NewRequest(
      kLongTimeoutPath, 1, seconds(6), seconds(6), RunEndKind::kDone);
  const std::string holder = this->NorthProcess(true);
  this->Submit("west0", job);
  this->fleet.Run(milliseconds(250));
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
  this->fleet.Kill("west0");
  this->fleet.Run(milliseconds(590));
  this->fleet.Kill(holder);
  this->fleet.Run(milliseconds(10));
  this->fleet.AddProcess("west0", "west");
  this->fleet.Run(kRepeatDelay - milliseconds(600));
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
  this->Submit("west0", job);
  this->fleet.Run(milliseconds(250));
  EXPECT_EQ(this->StartsOf(job), 1U);
}

// Guards against tasks that wait as if for a copy, since the holders of the
// endpoints report the runs of their own job: with that, fewer large jobs were
// served.
TEST_F(CopiedJobTest, TasksDoNotWaitForRunsOfTheirOwnJob) {
  const std::string coordinator = this->NorthProcess(false);
  // Each of the two endpoints has room for nine tasks, one of which is taken.
  constexpr int kTasks = 30;
  const jobs::JobRequest job =
      this->fleet.NewRequest(kLongTimeoutPath, kTasks, milliseconds(300),
                             milliseconds(300), RunEndKind::kDone);
  this->Submit(coordinator, job);
  this->fleet.Run(milliseconds(700));
  EXPECT_EQ(
      this->fleet.Process(coordinator).metrics.Counter("jobs.copies_delayed"),
      0U);
  ASSERT_TRUE(this->answer.has_value());
  EXPECT_EQ(this->answer->end, JobEnd::kComplete);
}

// Guards against TWICE (issue 38): an open submission that found no free
// endpoint was not reported, and was placed just after its copy.
TEST_F(CopiedJobTest, CopyWaitsForOpenSubmissionThatIsPlacedLate) {
  this->fleet.Run(milliseconds(15'500));
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 0U);
  this->fleet.Submit("north0", kLongTimeoutPath, 9, milliseconds(1'440));
  this->fleet.Submit("south0", kLongTimeoutPath, 9, milliseconds(1'440));
  this->fleet.Run(milliseconds(100));
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kNorthEndpoint), 9U);
  ASSERT_EQ(this->fleet.endpoints.RunningAt(kSouthEndpoint), 9U);
  const jobs::JobRequest job = this->fleet.NewRequest(
      kLongTimeoutPath, 1, seconds(2), seconds(6), RunEndKind::kDone);
  this->Submit("north0", job);
  this->fleet.Run(milliseconds(1'310));
  ASSERT_EQ(this->StartsOf(job), 0U);
  ASSERT_FALSE(this->answer.has_value());
  this->Submit("south0", job);
  this->fleet.Run(seconds(1));
  EXPECT_EQ(this->StartsOf(job), 1U);
}

}  // namespace
}  // namespace hawthornwheel::testing
