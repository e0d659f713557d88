#include "jobs/capacity_value.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace hawthornwheel::jobs {
namespace {

constexpr std::int64_t kTaskCpu = 32'000;
constexpr std::int64_t kEmpty = 64'000;

const std::vector<std::string> kFastLabels = {"fast", "rack1"};
const std::vector<std::string> kSlowLabels = {"rack2", "slow"};
const std::vector<std::string> kNoLabels;

// Adds `count` endpoints, of which `empty` have no task and the others no free
// capacity.
void Add(std::vector<Candidate>& candidates,
         const std::vector<std::string>& labels, double pace, int count,
         int empty, Distance distance = Distance::kLocal) {
  for (int i = 0; i < count; ++i) {
    Candidate& candidate = candidates.emplace_back();
    candidate.service = "s";
    candidate.labels = &labels;
    candidate.pace = pace;
    candidate.distance = distance;
    candidate.free = {i < empty ? kEmpty : 0, 1'000, 0};
  }
}

TaskSizes MakeSizes() {
  TaskSizes sizes;
  sizes.Add("s", {kTaskCpu / 2, 64, 0}, 2);
  sizes.Add("s", {kTaskCpu * 2, 64, 0}, 1);
  return sizes;
}

// Returns the value of the endpoints with `labels`.
double ValueOf(const std::vector<std::string>& labels,
               const std::vector<Candidate>& candidates,
               bool tasks_wait = false) {
  Candidate candidate;
  candidate.service = "s";
  candidate.labels = &labels;
  return CapacityValue(candidates, MakeSizes(), tasks_wait).Of(candidate);
}

TEST(CapacityValueTest, KindWithPlentyOfFreeRoomHasNoValue) {
  std::vector<Candidate> candidates;
  Add(candidates, kFastLabels, 0.6, 8, 2);
  Add(candidates, kSlowLabels, 1.6, 8, 0);
  EXPECT_DOUBLE_EQ(ValueOf(kFastLabels, candidates), 0);
  EXPECT_DOUBLE_EQ(ValueOf(kSlowLabels, candidates), 1);
}

// Load pattern: demand rises. Guards against a step of the value, at which
// processes that see slightly different loads would decide differently.
TEST(CapacityValueTest, ValueRisesEvenlyWithLoad) {
  for (int empty = 0; empty <= 5; ++empty) {
    std::vector<Candidate> candidates;
    Add(candidates, kFastLabels, 0.6, 40, empty);
    Add(candidates, kSlowLabels, 1.6, 40, 40);
    EXPECT_NEAR(ValueOf(kFastLabels, candidates), 1 - empty / 5.0, 1e-9);
  }
}

TEST(CapacityValueTest, WaitingTasksMakeLittleRoomValuable) {
  std::vector<Candidate> candidates;
  Add(candidates, kFastLabels, 0.6, 16, 2);
  Add(candidates, kSlowLabels, 1.6, 16, 16);
  EXPECT_DOUBLE_EQ(ValueOf(kFastLabels, candidates), 0);
  EXPECT_DOUBLE_EQ(ValueOf(kFastLabels, candidates, true), 1);
}

// Guards against a kind of two endpoints that counts as plentiful until its
// last place is taken.
TEST(CapacityValueTest, OneFreePlaceIsNotPlenty) {
  std::vector<Candidate> candidates;
  Add(candidates, kFastLabels, 0.6, 2, 1);
  Add(candidates, kSlowLabels, 1.6, 2, 0);
  candidates[0].free.cpu_milli = kTaskCpu;
  EXPECT_NEAR(ValueOf(kFastLabels, candidates), 0.29, 0.01);
}

// Load pattern: long tasks wait for a fast endpoint, or for one near their
// data, while others are free. Their wait must not make all capacity scarce.
TEST(CapacityValueTest, WaitingTasksDoNotWaitForKindThatIsFree) {
  std::vector<Candidate> candidates;
  Add(candidates, kFastLabels, 0.6, 8, 0);
  Add(candidates, kSlowLabels, 1.6, 8, 4);
  EXPECT_DOUBLE_EQ(ValueOf(kSlowLabels, candidates, true), 0);
}

// Load pattern: each endpoint has a rest of CPU that no task fits into.
TEST(CapacityValueTest, RoomThatIsTooSmallForTasksIsNotFree) {
  std::vector<Candidate> candidates;
  Add(candidates, kFastLabels, 0.6, 8, 8);
  Add(candidates, kSlowLabels, 1.6, 8, 0);
  for (Candidate& candidate : candidates)
    candidate.free.cpu_milli = kTaskCpu - 1;
  EXPECT_DOUBLE_EQ(ValueOf(kFastLabels, candidates), 1);
}

// Other domains report mainly endpoints with free capacity. When these were
// counted, a full fleet looked like one with plenty of free room.
TEST(CapacityValueTest, EndpointsOfOtherDomainsDoNotCount) {
  std::vector<Candidate> candidates;
  Add(candidates, kFastLabels, 0.6, 8, 0);
  Add(candidates, kSlowLabels, 1.6, 8, 0, Distance::kSameDomain);
  Add(candidates, kFastLabels, 0.6, 6, 6, Distance::kOtherDomain);
  EXPECT_DOUBLE_EQ(ValueOf(kFastLabels, candidates), 1);
}

// Load pattern: the endpoints of the own domain are evacuated.
TEST(CapacityValueTest, EndpointsOfOtherDomainsCountWhenThereAreNoOthers) {
  std::vector<Candidate> candidates;
  Add(candidates, kFastLabels, 0.6, 6, 6, Distance::kOtherDomain);
  Add(candidates, kSlowLabels, 1.6, 6, 0, Distance::kOtherDomain);
  EXPECT_DOUBLE_EQ(ValueOf(kFastLabels, candidates), 0);
  EXPECT_DOUBLE_EQ(ValueOf(kSlowLabels, candidates), 1);
}

struct UniformCase {
  const char* name;
  const std::vector<std::string>* first_labels;
  const std::vector<std::string>* second_labels;
  double first_pace;
  double second_pace;
};

class UniformFleetTest : public ::testing::TestWithParam<UniformCase> {};

// In a deployment without kinds of different pace, decisions are those of
// scarce capacity, as before.
TEST_P(UniformFleetTest, CapacityHasFullValue) {
  const UniformCase& row = GetParam();
  std::vector<Candidate> candidates;
  Add(candidates, *row.first_labels, row.first_pace, 10, 10);
  Add(candidates, *row.second_labels, row.second_pace, 10, 10);
  CapacityValue(candidates, MakeSizes(), false).SetIn(candidates);
  for (const Candidate& candidate : candidates)
    EXPECT_DOUBLE_EQ(candidate.capacity_value, 1);
}

INSTANTIATE_TEST_SUITE_P(
    Table, UniformFleetTest,
    ::testing::Values(UniformCase{"NoLabels", &kNoLabels, &kNoLabels, 0.6, 1.6},
                      UniformCase{"OneKind", &kFastLabels, &kFastLabels, 0.6,
                                  1.6},
                      UniformCase{"RacksOfEqualPace", &kFastLabels,
                                  &kSlowLabels, 0.95, 1.07}),
    [](const auto& row) { return row.param.name; });

TEST(CapacityValueTest, KindIsLabelOfMostEndpoints) {
  const std::vector<std::string> rack_first = {"a-rack", "kind"};
  std::vector<Candidate> candidates;
  Add(candidates, rack_first, 1, 2, 0);
  const std::vector<std::string> other_rack = {"b-rack", "kind"};
  Add(candidates, other_rack, 1, 2, 0);
  const EndpointKinds kinds(candidates);
  EXPECT_EQ(kinds.KindOf(candidates.front()), "kind");
  EXPECT_EQ(kinds.KindOf(candidates.back()), "kind");
}

TEST(CapacityValueTest, KindAmongLabelsOfEqualCountIsFirstByName) {
  std::vector<Candidate> candidates;
  Add(candidates, kSlowLabels, 1, 2, 0);
  EXPECT_EQ(EndpointKinds(candidates).KindOf(candidates[0]), "rack2");
}

}  // namespace
}  // namespace hawthornwheel::jobs
