#include "jobs/endpoint_choice.h"

#include <gtest/gtest.h>

#include <chrono>

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

Candidate MakeCandidate(std::string_view id, double pace,
                        Distance distance = Distance::kLocal,
                        std::int64_t cpu_milli = 16'000) {
  Candidate candidate;
  candidate.endpoint = id;
  candidate.service = "s";
  candidate.pace = pace;
  candidate.distance = distance;
  candidate.free = {cpu_milli, 1'000, 0};
  return candidate;
}

// Returns the requirements of a task of a job that has just arrived, with 1.5 s
// left to its deadline.
TaskRequirements MakeRequirements(int estimate_ms) {
  TaskRequirements requirements;
  requirements.service = "s";
  requirements.resources = {6'800, 64, 0};
  requirements.estimate = milliseconds(estimate_ms);
  requirements.objective_pace = 1.6 + 60.0 / estimate_ms;
  requirements.deadline = milliseconds(1'500);
  return requirements;
}

std::string ChosenEndpoint(std::vector<Candidate> candidates,
                           const TaskRequirements& requirements) {
  const Candidate* best = ChooseEndpoint(candidates, requirements);
  return best == nullptr ? "none" : std::string(best->endpoint);
}

TEST(EndpointChoiceTest, LongTasksGoToFastEndpoints) {
  EXPECT_EQ(
      ChosenEndpoint({MakeCandidate("slow", 1.67), MakeCandidate("mean", 1),
                      MakeCandidate("fast", 0.62)},
                     MakeRequirements(900)),
      "fast");
}

TEST(EndpointChoiceTest, ShortTasksLeaveFastEndpointsFree) {
  EXPECT_EQ(
      ChosenEndpoint({MakeCandidate("fast", 0.62), MakeCandidate("mean", 1),
                      MakeCandidate("slow", 1.67)},
                     MakeRequirements(60)),
      "slow");
}

TEST(EndpointChoiceTest, LocalEndpointIsPreferredAmongEqualOnes) {
  EXPECT_EQ(ChosenEndpoint({MakeCandidate("far", 1, Distance::kOtherDomain),
                            MakeCandidate("near", 1, Distance::kSameDomain),
                            MakeCandidate("own", 1)},
                           MakeRequirements(200)),
            "own");
}

TEST(EndpointChoiceTest, TighterFitIsPreferred) {
  EXPECT_EQ(ChosenEndpoint({MakeCandidate("empty", 1, Distance::kLocal, 24'000),
                            MakeCandidate("half", 1, Distance::kLocal, 8'000)},
                           MakeRequirements(200)),
            "half");
}

struct IneligibleCase {
  const char* name;
  void (*change)(Candidate&, TaskRequirements&);
};

class IneligibleEndpointTest : public ::testing::TestWithParam<IneligibleCase> {
};

TEST_P(IneligibleEndpointTest, IsNotChosen) {
  std::vector<Candidate> candidates = {MakeCandidate("only", 1)};
  TaskRequirements requirements = MakeRequirements(200);
  GetParam().change(candidates[0], requirements);
  EXPECT_EQ(ChooseEndpoint(candidates, requirements), nullptr);
}

const std::set<std::string> kOnly = {"only"};

INSTANTIATE_TEST_SUITE_P(
    Table, IneligibleEndpointTest,
    ::testing::Values(
        IneligibleCase{
            "Cpu",
            [](Candidate& c, TaskRequirements&) { c.free.cpu_milli = 6'799; }},
        IneligibleCase{"NoFreeCapacity",
                       [](Candidate& c, TaskRequirements& n) {
                         c.free = {};
                         n.resources = {};
                       }},
        IneligibleCase{
            "Memory",
            [](Candidate& c, TaskRequirements&) { c.free.memory_mb = 63; }},
        IneligibleCase{"Accelerator",
                       [](Candidate&, TaskRequirements& n) {
                         n.resources.accelerators = 1;
                       }},
        IneligibleCase{"Service", [](Candidate& c,
                                     TaskRequirements&) { c.service = "t"; }},
        IneligibleCase{"Label",
                       [](Candidate&, TaskRequirements& n) { n.label = "x"; }},
        IneligibleCase{
            "Avoided",
            [](Candidate&, TaskRequirements& n) { n.avoid = &kOnly; }},
        IneligibleCase{"TooLate",
                       [](Candidate&, TaskRequirements& n) {
                         n.deadline = milliseconds(90);
                       }}),
    [](const auto& row) { return row.param.name; });

TEST(EndpointChoiceTest, TaskThatCannotMeetItsDeadlineIsDetected) {
  const std::vector<Candidate> candidates = {MakeCandidate("fast", 0.62)};
  TaskRequirements requirements = MakeRequirements(900);
  EXPECT_TRUE(CanMeetDeadline(candidates, requirements));
  requirements.deadline = milliseconds(200);
  EXPECT_FALSE(CanMeetDeadline(candidates, requirements));
}

// Load pattern: jobs of long tasks arrive while the fast endpoints are full.
// They were started at slow endpoints, where most of them missed the deadline.
TEST(EndpointChoiceTest, LongTaskWaitsForFastEndpointWhenSlowOneIsUnlikely) {
  Candidate fast = MakeCandidate("fast", 0.62);
  fast.free = {};
  EXPECT_EQ(ChosenEndpoint({MakeCandidate("slow", 1.67), fast},
                           MakeRequirements(1'300)),
            "none");
  EXPECT_EQ(ChosenEndpoint({MakeCandidate("slow", 1.67), fast},
                           MakeRequirements(500)),
            "slow");
}

TEST(EndpointChoiceTest, LongTaskUsesSlowEndpointWhenNoneIsFaster) {
  EXPECT_EQ(
      ChosenEndpoint({MakeCandidate("slow", 1.67)}, MakeRequirements(1'300)),
      "slow");
}

TEST(EndpointChoiceTest, ReservedCapacityIsThatOfEndpointsInTime) {
  std::vector<Candidate> candidates = {
      MakeCandidate("slow", 1.67),
      MakeCandidate("fast", 0.62, Distance::kLocal, 5'000)};
  Reserve(candidates, MakeRequirements(1'300), base::TimePoint{});
  EXPECT_EQ(candidates[0].free.cpu_milli, 16'000);
  EXPECT_EQ(candidates[1].free.cpu_milli, 0);
}

TEST(EndpointChoiceTest, FreeRoomIsCountedInTasks) {
  const FreeRoom room =
      CountFreeRoom({MakeCandidate("slow", 1.67), MakeCandidate("fast", 0.62),
                     MakeCandidate("full", 0.62, Distance::kLocal, 6'000)},
                    MakeRequirements(1'300));
  EXPECT_EQ(room.tasks, 4);
  EXPECT_EQ(room.tasks_in_time, 2);
}

// Load pattern: the data of one key is in one rack, and many jobs need this
// data.
TEST(EndpointChoiceTest, TaskRunsNearItsDataWhenThatIsFaster) {
  const std::vector<std::string> near = {"r1"};
  const std::vector<std::string> far = {"r2"};
  TaskRequirements requirements = MakeRequirements(200);
  requirements.near_label = "r1";
  requirements.far_factor = 2;
  Candidate near_data = MakeCandidate("near", 1.5);
  near_data.labels = &near;
  Candidate elsewhere = MakeCandidate("far", 1);
  elsewhere.labels = &far;
  EXPECT_EQ(ChosenEndpoint({elsewhere, near_data}, requirements), "near");
}

TEST(EndpointChoiceTest, TaskRunsElsewhereWhenNoEndpointNearItsDataIsFree) {
  const std::vector<std::string> far = {"r2"};
  TaskRequirements requirements = MakeRequirements(200);
  requirements.near_label = "r1";
  requirements.far_factor = 2;
  Candidate elsewhere = MakeCandidate("far", 1);
  elsewhere.labels = &far;
  EXPECT_EQ(ChosenEndpoint({elsewhere}, requirements), "far");
  EXPECT_DOUBLE_EQ(PaceFor(elsewhere, requirements), 2);
}

// Load pattern: large jobs of long tasks arrive at once. All tasks of a job
// must end in time, so a fast endpoint of another domain is worth the cost of
// its messages.
TEST(EndpointChoiceTest, LongTasksOfLargeJobsUseFastEndpointOfOtherDomain) {
  const std::vector<Candidate> candidates = {
      MakeCandidate("near", 1),
      MakeCandidate("far", 0.62, Distance::kOtherDomain)};
  TaskRequirements requirements = MakeRequirements(900);
  requirements.job_task_count = 10;
  EXPECT_EQ(ChosenEndpoint(candidates, requirements), "far");
}

TEST(EndpointChoiceTest, ShortTasksStayAtLocalEndpoint) {
  const std::vector<Candidate> candidates = {
      MakeCandidate("near", 1),
      MakeCandidate("far", 1.1, Distance::kSameDomain)};
  TaskRequirements requirements = MakeRequirements(60);
  requirements.job_task_count = 8;
  EXPECT_EQ(ChosenEndpoint(candidates, requirements), "near");
}

}  // namespace
}  // namespace hawthornwheel::jobs
