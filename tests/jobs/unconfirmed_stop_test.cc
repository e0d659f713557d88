// Checks that the runs of a job have ended when its caller submits it again
// elsewhere, though an endpoint leaves stop orders without an answer and other
// runs keep its leases renewed.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using runs::RunEndKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPath[] = "/l/";
constexpr char kNorthEndpoint[] = "north-e0";
constexpr char kSouthEndpoint[] = "south-e0";
constexpr std::uint32_t kStrongWeight = 50;
constexpr std::uint32_t kWeakWeight = 9;
// Time after which a caller submits a job again that has no final answer.
constexpr base::Duration kResendTime = milliseconds(1'300);
constexpr base::Duration kLongRun = seconds(6);
constexpr int kHeartbeatMs = 200;
constexpr int kPhaseStepMs = 20;
constexpr base::Duration kStep = milliseconds(10);

// Two failure domains with one large endpoint and two coordinators each. Short
// jobs keep the endpoint of north busy.
class UnconfirmedStopTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->fleet.Publish("1 /l/:1:60000");
    for (const char* domain : {"north", "south"}) {
      this->fleet.AddEndpoint(std::string(domain) + "-e0", domain, 64'000);
      for (int i = 0; i < 2; ++i) {
        this->fleet.AddProcess(std::string(domain) + std::to_string(i), domain);
      }
    }
    this->fleet.Run(seconds(2));
    this->north0_holds =
        this->fleet.Process("north0").pool.Sessions().contains(kNorthEndpoint);
  }

  // Returns the process of north that holds its endpoint, or the other one.
  std::string NorthProcess(bool holder) const {
    return this->north0_holds == holder ? "north0" : "north1";
  }

  void CutDomainsOff() {
    this->fleet.network.Partition("north", "south");
    this->fleet.network.Partition("south", "north");
  }

  void LoseStops() { this->fleet.endpoints.SetFaults({.stops_lost = 1}); }

  // Lets time pass while a job of one short task arrives each 50 ms.
  void RunWithShortJobs(base::Duration time) {
    constexpr base::Duration kInterval = milliseconds(50);
    const std::string process = this->NorthProcess(true);
    for (base::Duration passed{0}; passed < time; passed += kInterval) {
      if (this->fleet.IsUp(process)) {
        this->short_jobs.push_back(
            this->fleet.Submit(process, kPath, 1, milliseconds(100)));
      }
      this->fleet.Run(kInterval);
    }
  }

  // Submits a job with a long run in north, and returns its caller.
  std::uint64_t Begin(const std::string& process) {
    this->job =
        this->fleet.NewRequest(kPath, 1, kLongRun, kLongRun, RunEndKind::kDone);
    const std::uint64_t caller = this->fleet.Process(process).relay.Submit(
        this->job, [](const jobs::JobAnswer&) {});
    this->RunWithShortJobs(milliseconds(200));
    EXPECT_EQ(this->fleet.endpoints.StartsOf(this->job.payload), 1U);
    return caller;
  }

  // Submits the job to south, where it starts at once.
  void SubmitAgain() {
    this->fleet.Process("south0").relay.Submit(this->job,
                                               [](const jobs::JobAnswer&) {});
    this->fleet.Run(milliseconds(20));
    EXPECT_EQ(this->fleet.endpoints.StartsOf(this->job.payload), 2U);
  }

  void ExpectNoViolation(const std::string& scenario = "") {
    const auto& violations = this->fleet.endpoints.Violations();
    EXPECT_TRUE(violations.empty()) << scenario << ": " << violations.front();
  }

  // Returns the number of short jobs that have ended in this way.
  int Count(jobs::JobEnd end) const {
    int count = 0;
    for (const auto& answer : this->short_jobs) {
      if (*answer && (*answer)->end == end) ++count;
    }
    return count;
  }

  HostedFleet fleet;
  bool north0_holds = false;
  jobs::JobRequest job;
  std::vector<std::shared_ptr<std::optional<jobs::JobAnswer>>> short_jobs;
};

// Guards against TWICE (review/11): polls and starts of other runs renewed the
// lease of a run whose stops were lost, until its job came back in a domain
// that was cut off.
TEST_F(UnconfirmedStopTest, RunHasEndedWhenJobIsSubmittedAgain) {
  const std::string holder = this->NorthProcess(true);
  const std::uint64_t caller = this->Begin(holder);
  this->CutDomainsOff();
  this->LoseStops();
  this->fleet.Process(holder).relay.Abandon(this->job.id, caller);
  this->RunWithShortJobs(kResendTime);
  this->SubmitAgain();
  this->ExpectNoViolation();
  EXPECT_EQ(this->fleet.Process(holder).metrics.Counter("runs.lapsed_stops"),
            1U);
}

// As above: another process than the coordinator of the job holds the endpoint.
TEST_F(UnconfirmedStopTest, RunAtOtherHolderHasEndedWhenJobIsSubmittedAgain) {
  const std::string coordinator = this->NorthProcess(false);
  const std::uint64_t caller = this->Begin(coordinator);
  this->CutDomainsOff();
  this->LoseStops();
  this->fleet.Process(coordinator).relay.Abandon(this->job.id, caller);
  this->RunWithShortJobs(kResendTime);
  this->SubmitAgain();
  this->ExpectNoViolation();
}

// As above: the task had been ordered to stop before, to start elsewhere, which
// it may do at any time; then its job ends.
TEST_F(UnconfirmedStopTest, MovedRunHasEndedWhenItsJobIsSubmittedAgain) {
  const std::string holder = this->NorthProcess(true);
  const std::uint64_t caller = this->Begin(holder);
  this->CutDomainsOff();
  this->LoseStops();
  this->fleet.Process(holder).pool.StopTask(kNorthEndpoint,
                                            this->job.id + ".0.0.0", 1, {});
  this->RunWithShortJobs(seconds(2));
  EXPECT_EQ(this->fleet.Process(holder).metrics.Counter("runs.lapsed_stops"),
            0U);
  this->fleet.Process(holder).relay.Abandon(this->job.id, caller);
  this->RunWithShortJobs(kResendTime);
  this->SubmitAgain();
  this->ExpectNoViolation();
}

// Guards against TWICE: a process that stops answers its jobs, and renewed the
// lease of their runs until its exit.
TEST_F(UnconfirmedStopTest,
       RunOfStoppedProcessHasEndedWhenJobIsSubmittedAgain) {
  constexpr base::Duration kExitTime = milliseconds(500);
  const std::string holder = this->NorthProcess(true);
  this->Begin(holder);
  this->CutDomainsOff();
  this->LoseStops();
  this->fleet.Process(holder).jobs.InterruptAll();
  this->RunWithShortJobs(kExitTime);
  this->fleet.Kill(holder);
  this->fleet.Run(kResendTime - kExitTime);
  this->SubmitAgain();
  this->ExpectNoViolation();
}

// Guards against TWICE: the holder of an endpoint renewed the lease of a run
// whose coordinator had been killed.
TEST_F(UnconfirmedStopTest, RunOfKilledCoordinatorHasEnded) {
  const std::string coordinator = this->NorthProcess(false);
  this->Begin(coordinator);
  this->CutDomainsOff();
  this->LoseStops();
  this->fleet.Kill(coordinator);
  this->RunWithShortJobs(kResendTime);
  this->SubmitAgain();
  this->ExpectNoViolation();
}

// The load while a stop is not confirmed: tasks that end before the leases do
// are started, and none of them is lost with the leases.
TEST_F(UnconfirmedStopTest, ShortTasksAreServedUntilLeasesExpire) {
  const std::string holder = this->NorthProcess(true);
  const std::uint64_t caller = this->Begin(holder);
  this->CutDomainsOff();
  this->LoseStops();
  this->fleet.Process(holder).relay.Abandon(this->job.id, caller);
  this->RunWithShortJobs(seconds(2));
  this->fleet.Run(seconds(1));
  EXPECT_EQ(this->fleet.Process(holder).metrics.Counter("runs.lapsed_stops"),
            1U);
  EXPECT_EQ(this->fleet.Process(holder).metrics.Counter("runs.ended.lost"), 1U);
  // One job arrives each 50 ms. Those of the last 150 ms before the leases
  // expire find no endpoint.
  EXPECT_LE(this->Count(jobs::JobEnd::kRejected), 4);
  EXPECT_EQ(this->Count(jobs::JobEnd::kInterrupted), 0);
  EXPECT_EQ(this->Count(jobs::JobEnd::kComplete) +
                this->Count(jobs::JobEnd::kRejected),
            static_cast<int>(this->short_jobs.size()));
}

// Guards against TWICE: an entry that hears its coordinator no more answers its
// caller, and the coordinator, which is cut off from the other processes, finds
// that out up to 0.5 s later.
TEST(UnconfirmedStopAtEntryTest, RunHasEndedWhenEntryLostItsCoordinator) {
  for (int phase_ms = 0; phase_ms < kHeartbeatMs; phase_ms += kPhaseStepMs) {
    HostedFleet fleet;
    fleet.Publish("1 /l/:1:60000");
    fleet.AddEndpoint(kNorthEndpoint, "north");
    fleet.AddEndpoint(kSouthEndpoint, "south");
    fleet.AddProcess("strong", "north", kStrongWeight);
    fleet.AddProcess("other", "south", kStrongWeight);
    fleet.Run(milliseconds(phase_ms));
    fleet.AddProcess("weak", "north", kWeakWeight);
    fleet.Run(seconds(3));
    const jobs::JobRequest job =
        fleet.NewRequest(kPath, 1, kLongRun, kLongRun, RunEndKind::kDone);
    bool answered = false;
    fleet.Process("weak").relay.Submit(
        job, [&answered](const jobs::JobAnswer&) { answered = true; });
    // Renews the leases.
    fleet.Submit("strong", kPath, 1, kLongRun);
    fleet.Run(seconds(1));
    ASSERT_EQ(fleet.endpoints.RunningAt(kNorthEndpoint), 2U);
    fleet.endpoints.SetFaults({.stops_lost = 1});
    fleet.network.Cut("strong", "weak");
    fleet.network.Cut("strong", "other");
    fleet.network.Cut("other", "strong");
    // Messages of the entry are the later the more time has passed, so that the
    // coordinator still hears it.
    base::Duration delay{0};
    while (!answered) {
      fleet.network.Disturb("weak", "strong", {0, delay, delay});
      fleet.Run(kStep);
      delay += 2 * kStep;
    }
    fleet.network.Disturb("weak", "strong", {1, {}, {}});
    fleet.network.Cut("weak", "other");
    fleet.network.Cut("other", "weak");
    fleet.Run(kResendTime);
    fleet.Process("other").relay.Submit(job, [](const jobs::JobAnswer&) {});
    fleet.Run(milliseconds(50));
    EXPECT_EQ(fleet.endpoints.StartsOf(job.payload), 2U);
    EXPECT_TRUE(fleet.endpoints.Violations().empty())
        << "phase " << phase_ms << ": " << fleet.endpoints.Violations().front();
  }
}

}  // namespace
}  // namespace hawthornwheel::testing
