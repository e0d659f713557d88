#include "jobs/endpoint_choice.h"

#include <gtest/gtest.h>

#include <chrono>

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

Candidate At(std::string_view id, double pace,
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

// A job that is looked at on arrival, with 1.5 s to its deadline.
TaskRequirements Need(int estimate_ms) {
  TaskRequirements need;
  need.service = "s";
  need.resources = {6'800, 64, 0};
  need.estimate = milliseconds(estimate_ms);
  need.objective_pace = 1.6 + 60.0 / estimate_ms;
  need.deadline = milliseconds(1'500);
  return need;
}

std::string Chosen(std::vector<Candidate> candidates,
                   const TaskRequirements& need) {
  const Candidate* best = ChooseEndpoint(candidates, need);
  return best == nullptr ? "none" : std::string(best->endpoint);
}

TEST(EndpointChoiceTest, LongTasksGoToFastEndpoints) {
  EXPECT_EQ(
      Chosen({At("slow", 1.67), At("mean", 1), At("fast", 0.62)}, Need(900)),
      "fast");
}

TEST(EndpointChoiceTest, ShortTasksLeaveFastEndpointsFree) {
  EXPECT_EQ(
      Chosen({At("fast", 0.62), At("mean", 1), At("slow", 1.67)}, Need(60)),
      "slow");
}

TEST(EndpointChoiceTest, TheNearHolderWinsAmongEquals) {
  EXPECT_EQ(Chosen({At("far", 1, Distance::kOtherDomain),
                    At("near", 1, Distance::kSameDomain), At("own", 1)},
                   Need(200)),
            "own");
}

TEST(EndpointChoiceTest, TheTighterFitWins) {
  EXPECT_EQ(Chosen({At("empty", 1, Distance::kLocal, 24'000),
                    At("half", 1, Distance::kLocal, 8'000)},
                   Need(200)),
            "half");
}

struct Refusal {
  const char* name;
  void (*change)(Candidate&, TaskRequirements&);
};

class EndpointChoiceRefusalTest : public ::testing::TestWithParam<Refusal> {};

TEST_P(EndpointChoiceRefusalTest, AnUnfitEndpointIsNotChosen) {
  std::vector<Candidate> candidates = {At("only", 1)};
  TaskRequirements need = Need(200);
  GetParam().change(candidates[0], need);
  EXPECT_EQ(ChooseEndpoint(candidates, need), nullptr);
}

const std::set<std::string> kOnly = {"only"};

INSTANTIATE_TEST_SUITE_P(
    Table, EndpointChoiceRefusalTest,
    ::testing::Values(
        Refusal{"Cpu", [](Candidate& c,
                          TaskRequirements&) { c.free.cpu_milli = 6'799; }},
        Refusal{"Memory",
                [](Candidate& c, TaskRequirements&) { c.free.memory_mb = 63; }},
        Refusal{"Accelerator",
                [](Candidate&, TaskRequirements& n) {
                  n.resources.accelerators = 1;
                }},
        Refusal{"Service",
                [](Candidate& c, TaskRequirements&) { c.service = "t"; }},
        Refusal{"Label",
                [](Candidate&, TaskRequirements& n) { n.label = "x"; }},
        Refusal{"Avoided",
                [](Candidate&, TaskRequirements& n) { n.avoid = &kOnly; }},
        Refusal{"TooLate",
                [](Candidate&, TaskRequirements& n) {
                  n.deadline = milliseconds(90);
                }}),
    [](const auto& row) { return row.param.name; });

TEST(EndpointChoiceTest, ATaskThatNoEndpointCanEndInTimeIsKnown) {
  TaskRequirements need = Need(900);
  EXPECT_TRUE(CanMeetDeadline(need));
  need.deadline = milliseconds(200);
  EXPECT_FALSE(CanMeetDeadline(need));
}

// Pattern: many jobs want the rack where one key's data is.
TEST(EndpointChoiceTest, ATaskGoesToItsDataWhileThatIsFaster) {
  const std::vector<std::string> near = {"r1"};
  const std::vector<std::string> far = {"r2"};
  TaskRequirements need = Need(200);
  need.near_label = "r1";
  need.far_factor = 2;
  Candidate at_data = At("near", 1.5);
  at_data.labels = &near;
  Candidate elsewhere = At("far", 1);
  elsewhere.labels = &far;
  EXPECT_EQ(Chosen({elsewhere, at_data}, need), "near");
}

TEST(EndpointChoiceTest, WhereTheDatasRackIsFullATaskRunsElsewhere) {
  const std::vector<std::string> far = {"r2"};
  TaskRequirements need = Need(200);
  need.near_label = "r1";
  need.far_factor = 2;
  Candidate elsewhere = At("far", 1);
  elsewhere.labels = &far;
  EXPECT_EQ(Chosen({elsewhere}, need), "far");
  EXPECT_DOUBLE_EQ(PaceFor(elsewhere, need), 2);
}

// Pattern: large jobs of long tasks come at once. Each of their tasks must end
// in time, so a fast endpoint elsewhere is worth its messages.
TEST(EndpointChoiceTest, LongTasksOfWideJobsGoFarForASpeed) {
  const std::vector<Candidate> candidates = {
      At("near", 1), At("far", 0.62, Distance::kOtherDomain)};
  TaskRequirements need = Need(900);
  need.job_task_count = 10;
  EXPECT_EQ(Chosen(candidates, need), "far");
}

TEST(EndpointChoiceTest, ShortTasksStayNear) {
  const std::vector<Candidate> candidates = {
      At("near", 1), At("far", 1.1, Distance::kSameDomain)};
  TaskRequirements need = Need(60);
  need.job_task_count = 8;
  EXPECT_EQ(Chosen(candidates, need), "near");
}

}  // namespace
}  // namespace hawthornwheel::jobs
