// Load patterns: for some seconds many jobs want the same rack, away from which
// their tasks take twice as long; and long tasks find only slow endpoints free.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "support/scripted_jobs.h"

namespace hawthornwheel::testing {
namespace {

using jobs::JobEnd;
using std::chrono::milliseconds;

const std::vector<std::string> kRack = {"r1"};
const std::vector<std::string> kOtherRack = {"r2"};
constexpr std::int64_t kFree = 64'000;
constexpr std::int64_t kTaskCpu = 1'000;

class PlacementWaitTest : public ::testing::Test {
 protected:
  PlacementWaitTest() { this->jobs.settings.far_factor = 2; }

  static jobs::Candidate Away(std::string_view id = "away") {
    return ScriptedJobs::Endpoint(id, 1, kFree, &kOtherRack);
  }
  jobs::Candidate BusyNear(std::string_view id, base::Duration left) const {
    return this->jobs.Busy(id, 1, left, &kRack);
  }
  void SubmitNear(base::Duration estimate, int tasks = 1) {
    this->jobs.Submit(estimate, tasks, kTaskCpu, "r1");
  }
  const std::vector<std::string>& Placements() const {
    return this->jobs.placer.endpoints;
  }

  ScriptedJobs jobs;
};

// Tasks were started away from their data, where they missed the objective,
// some milliseconds before a place near it was free.
TEST_F(PlacementWaitTest, LongTaskWaitsForPlaceNearItsDataThatIsSoonFree) {
  this->jobs.Offer({Away(), this->BusyNear("near", milliseconds(20))});
  this->SubmitNear(milliseconds(700));
  this->jobs.clock.Advance(milliseconds(18));
  EXPECT_TRUE(this->Placements().empty());
  this->jobs.Offer({Away(), ScriptedJobs::Endpoint("near", 1, kFree, &kRack)});
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"near"}));
  EXPECT_EQ(this->jobs.metrics.Counter("jobs.waits_for_better"), 1U);
  EXPECT_EQ(this->jobs.metrics.Counter("jobs.near_placements"), 1U);
  EXPECT_EQ(this->jobs.metrics.Counter("jobs.waits_in_vain"), 0U);
}

// A task must not wait without an end for a place that another process takes.
TEST_F(PlacementWaitTest, TaskStartsElsewhereWhenItsPlaceIsLost) {
  this->jobs.Offer({Away(), this->BusyNear("near", milliseconds(20))});
  this->SubmitNear(milliseconds(700));
  this->jobs.clock.Advance(milliseconds(100));
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"away"}));
  EXPECT_EQ(this->jobs.metrics.Counter("jobs.waits_in_vain"), 1U);
  EXPECT_EQ(this->jobs.metrics.Counter("jobs.away_placements"), 1U);
}

TEST_F(PlacementWaitTest, TaskStartsElsewhereWhenThePlaceIsFreeMuchLater) {
  this->jobs.Offer({Away(), this->BusyNear("near", milliseconds(20))});
  this->SubmitNear(milliseconds(700));
  ASSERT_TRUE(this->Placements().empty());
  this->jobs.Offer({Away(), this->BusyNear("near", milliseconds(900))});
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"away"}));
}

TEST_F(PlacementWaitTest, TaskStartsElsewhereWhenItsEndpointIsGone) {
  this->jobs.Offer({Away(), this->BusyNear("near", milliseconds(20))});
  this->SubmitNear(milliseconds(700));
  ASSERT_TRUE(this->Placements().empty());
  this->jobs.Offer({Away()});
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"away"}));
}

// Many jobs want the same rack. When all waited for it, they would queue there
// while endpoints elsewhere are free.
TEST_F(PlacementWaitTest, BurstOfJobsForOneRackSpreads) {
  this->jobs.Offer({Away(), this->BusyNear("near1", milliseconds(20)),
                    this->BusyNear("near2", milliseconds(30)),
                    this->BusyNear("near3", milliseconds(40))});
  for (int job = 0; job < 8; ++job) this->SubmitNear(milliseconds(700));
  EXPECT_EQ(this->Placements(), std::vector<std::string>(5, "away"));
  EXPECT_TRUE(this->jobs.answers.empty());
}

// The same for tasks that other racks are unlikely to run in time: these waited
// for the rack until their jobs were rejected.
TEST_F(PlacementWaitTest, BurstOfVeryLongJobsForOneRackSpreads) {
  this->jobs.Offer({Away(), this->BusyNear("near", milliseconds(20))});
  for (int job = 0; job < 4; ++job) this->SubmitNear(milliseconds(1'200));
  EXPECT_EQ(this->Placements(), std::vector<std::string>(3, "away"));
}

TEST_F(PlacementWaitTest, TasksOfOneJobDivideThePlaces) {
  this->jobs.Offer({Away(), this->BusyNear("near1", milliseconds(20))});
  this->SubmitNear(milliseconds(700), 4);
  EXPECT_EQ(this->Placements(), std::vector<std::string>(3, "away"));
}

TEST_F(PlacementWaitTest, TaskThatMeetsItsObjectiveAwayDoesNotWait) {
  this->jobs.Offer({Away(), this->BusyNear("near", milliseconds(20))});
  this->SubmitNear(milliseconds(60));
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"away"}));
}

TEST_F(PlacementWaitTest, NobodyWaitsForPlaceWithoutKnownTime) {
  this->jobs.Offer({Away(), ScriptedJobs::Endpoint("near", 1, 0, &kRack)});
  this->SubmitNear(milliseconds(700));
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"away"}));
}

TEST_F(PlacementWaitTest,
       TaskWithoutPreferredRackDoesNotWaitForFasterEndpoint) {
  this->jobs.Offer({Away(), this->jobs.Busy("fast", 0.6, milliseconds(20))});
  this->jobs.Submit(milliseconds(700));
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"away"}));
}

// Long tasks waited for a fast endpoint up to their wait limit, and were
// rejected, although an endpoint that might have run them was free.
TEST_F(PlacementWaitTest, LongTaskTakesSlowEndpointRatherThanBeingRejected) {
  this->jobs.Offer({ScriptedJobs::Endpoint("slow", 2, kFree),
                    ScriptedJobs::Endpoint("fast", 0.6, 0)});
  this->jobs.Submit(milliseconds(1'000));
  EXPECT_TRUE(this->Placements().empty());
  this->jobs.clock.Advance(milliseconds(300));
  EXPECT_TRUE(this->jobs.answers.empty());
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"slow"}));
}

TEST_F(PlacementWaitTest, LongTaskTakesSlowEndpointWhenNoFastOneIsFreeInTime) {
  this->jobs.Offer({ScriptedJobs::Endpoint("slow", 2, kFree),
                    this->jobs.Busy("fast", 0.6, milliseconds(900))});
  this->jobs.Submit(milliseconds(1'000));
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"slow"}));
}

TEST_F(PlacementWaitTest, LongTaskWaitsForFastEndpointThatIsFreeInTime) {
  this->jobs.Offer({ScriptedJobs::Endpoint("slow", 2, kFree),
                    this->jobs.Busy("fast", 0.6, milliseconds(60))});
  this->jobs.Submit(milliseconds(1'000));
  this->jobs.clock.Advance(milliseconds(50));
  EXPECT_TRUE(this->Placements().empty());
  this->jobs.Offer({ScriptedJobs::Endpoint("slow", 2, kFree),
                    ScriptedJobs::Endpoint("fast", 0.6, kFree)});
  EXPECT_EQ(this->Placements(), (std::vector<std::string>{"fast"}));
}

// A placement that cannot end in time does not count as service.
TEST_F(PlacementWaitTest, TaskIsNotStartedWhereItHasNoChance) {
  this->jobs.Offer({ScriptedJobs::Endpoint("slow", 4, kFree),
                    this->jobs.Busy("fast", 0.6, milliseconds(900))});
  this->jobs.Submit(milliseconds(1'000));
  this->jobs.clock.Advance(milliseconds(300));
  EXPECT_TRUE(this->Placements().empty());
  ASSERT_EQ(this->jobs.answers.size(), 1U);
  EXPECT_EQ(this->jobs.answers[0].end, JobEnd::kRejected);
}

}  // namespace
}  // namespace hawthornwheel::testing
