// Checks that no run goes on when the process that placed it counts it as
// ended: the two processes lose each other for a while, and orders that stop
// the run are lost at the endpoint.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using runs::RunEndKind;
using runs::RunOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kOrigin[] = "north0";
constexpr char kHolder[] = "south0";
constexpr char kOriginEndpoint[] = "north-e0";
constexpr char kHolderEndpoint[] = "south-e0";
constexpr base::Duration kRunTime = seconds(6);
// Interval of the heartbeats.
constexpr int kHeartbeatMs = 200;
constexpr int kPhaseStepMs = 10;

/// Runs a task at a holder in another domain than the process that placed it.
class HolderFleet {
 public:
  /// The timers of the holder are `phase` later than those of the origin.
  explicit HolderFleet(base::Duration phase) {
    this->fleet.Publish("1 /l/:1:10000");
    this->fleet.AddEndpoint(kOriginEndpoint, "north");
    this->fleet.AddEndpoint(kHolderEndpoint, "south");
    this->fleet.AddProcess(kOrigin, "north");
    this->fleet.Run(phase);
    this->fleet.AddProcess(kHolder, "south");
    this->fleet.Run(seconds(3));
    this->Place();
  }

  HostedProcess& Origin() { return this->fleet.Process(kOrigin); }
  HostedProcess& Holder() { return this->fleet.Process(kHolder); }

  bool IsHolderLive() {
    return this->Origin().cluster.Board().FindLive(kHolder) != nullptr;
  }

  bool IsAtWork() const {
    return this->fleet.endpoints.RunningAt(kHolderEndpoint) > this->other_runs;
  }

  // Starts a run of the holder itself, which keeps the lease at the endpoint.
  void StartOtherRun() {
    runs::RunHandlers handlers;
    handlers.on_end = [](RunOutcome) {};
    ASSERT_TRUE(this->Holder().pool.StartTask(this->OrderFor("other"),
                                              std::move(handlers)));
    this->other_runs = 1;
    this->fleet.Run(milliseconds(20));
  }

  HostedFleet fleet;
  /// Outcomes that the origin has received, and whether the run was at work.
  std::vector<RunOutcome> ends;
  bool ended_at_work = false;

 private:
  runs::TaskOrder OrderFor(const std::string& task) {
    runs::TaskOrder order;
    order.task = task;
    order.endpoint = kHolderEndpoint;
    order.payload = task;
    order.resources = {6'800, 64, 0};
    order.time_left = seconds(10);
    this->fleet.endpoints.SetTask(task, kRunTime, RunEndKind::kDone);
    return order;
  }

  void Place() {
    runs::RunHandlers handlers;
    handlers.on_end = [this](RunOutcome outcome) {
      this->ends.push_back(outcome);
      if (this->IsAtWork()) this->ended_at_work = true;
    };
    this->Origin().remote.Place(kHolder, this->OrderFor("t"),
                                std::move(handlers));
    this->fleet.Run(milliseconds(50));
    ASSERT_TRUE(this->IsAtWork());
  }

  std::size_t other_runs = 0;
};

// Guards against two runs of a task (issue 38): a placement at a holder that
// was lost for a moment ended after 1.2 s, though the holder was live again and
// had not reported the end.
TEST(LostHolderTest, PlacementWaitsForReportOfHolderThatIsLiveAgain) {
  for (int phase_ms = 0; phase_ms < kHeartbeatMs; phase_ms += kPhaseStepMs) {
    HolderFleet world{milliseconds(phase_ms)};
    world.StartOtherRun();
    world.fleet.endpoints.SetFaults({.stops_lost = 1});
    world.fleet.network.Cut(kHolder, kOrigin);
    while (world.IsHolderLive()) world.fleet.Run(milliseconds(1));
    world.fleet.network.HealAll();
    world.fleet.Run(milliseconds(2'500));
    EXPECT_TRUE(world.IsHolderLive());
    EXPECT_TRUE(world.IsAtWork());
    EXPECT_TRUE(world.ends.empty()) << "phase " << phase_ms;
    world.fleet.endpoints.SetFaults({});
    world.fleet.Run(milliseconds(500));
    EXPECT_EQ(world.ends, std::vector<RunOutcome>{RunOutcome::kStopped});
    EXPECT_FALSE(world.ended_at_work) << "phase " << phase_ms;
  }
}

// Guards against a task that is never started again: the time after which the
// runs of a lost holder have ended counts from its latest loss.
TEST(LostHolderTest, PlacementEndsWhenHolderIsLostAgain) {
  HolderFleet world{milliseconds(0)};
  world.StartOtherRun();
  world.fleet.endpoints.SetFaults({.stops_lost = 1});
  world.fleet.network.Cut(kHolder, kOrigin);
  while (world.IsHolderLive()) world.fleet.Run(milliseconds(1));
  world.fleet.network.HealAll();
  world.fleet.Run(milliseconds(500));
  ASSERT_TRUE(world.IsHolderLive());
  world.fleet.Kill(kHolder);
  while (world.IsHolderLive()) world.fleet.Run(milliseconds(1));
  world.fleet.Run(milliseconds(1'300));
  EXPECT_EQ(world.ends, std::vector<RunOutcome>{RunOutcome::kLost});
  EXPECT_FALSE(world.IsAtWork());
}

}  // namespace
}  // namespace hawthornwheel::testing
