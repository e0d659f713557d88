// Load pattern: short and long tasks share endpoints of several kinds. Fast
// endpoints are needed by long tasks when they are scarce, and cost nobody
// anything when they are free.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "jobs/capacity_value.h"
#include "jobs/endpoint_choice.h"

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kTaskCpu = 32'000;

const std::vector<std::string> kFast = {"fast"};
const std::vector<std::string> kMean = {"mean"};
const std::vector<std::string> kSlow = {"slow"};

TaskRequirements MakeRequirements(int estimate_ms) {
  TaskRequirements requirements;
  requirements.service = "s";
  requirements.resources = {kTaskCpu, 64, 0};
  requirements.estimate = milliseconds(estimate_ms);
  requirements.objective_pace = 1.6 + 60.0 / estimate_ms;
  requirements.deadline = milliseconds(1'500);
  return requirements;
}

class FastEndpointTest : public ::testing::Test {
 protected:
  // Adds ten endpoints of one kind. The first `free` of them have `cpu_milli`
  // free, the others nothing.
  void Add(const std::vector<std::string>& labels, double pace, int free,
           std::int64_t cpu_milli) {
    for (int i = 0; i < 10; ++i) {
      Candidate& candidate = this->candidates.emplace_back();
      candidate.endpoint = labels[0];
      candidate.service = "s";
      candidate.pace = pace;
      candidate.labels = &labels;
      candidate.free = {i < free ? cpu_milli : 0, 1'000, 0};
    }
  }

  // Returns the kind of the endpoint that is chosen for a task.
  std::string ChosenKind(const TaskRequirements& requirements,
                         bool tasks_wait = false) {
    TaskSizes sizes;
    sizes.Add("s", {kTaskCpu, 64, 0}, 1);
    CapacityValue(this->candidates, sizes, tasks_wait).SetIn(this->candidates);
    const Candidate* chosen = ChooseEndpoint(this->candidates, requirements);
    return chosen == nullptr ? "none" : std::string(chosen->endpoint);
  }

  std::vector<Candidate> candidates;
};

// A task of 760 ms ran at an endpoint where it took 760 ms, since that had just
// the free CPU that it needed, while fast endpoints were empty.
TEST_F(FastEndpointTest, TaskOf760MsGoesToFreeFastEndpointDespiteCloserFit) {
  this->Add(kMean, 1, 10, kTaskCpu);
  this->Add(kFast, 0.62, 10, 2 * kTaskCpu);
  EXPECT_EQ(this->ChosenKind(MakeRequirements(760)), "fast");
}

// Guards against short tasks that take the last fast endpoints from long ones,
// although those are a little better for them.
TEST_F(FastEndpointTest, ShortTasksLeaveScarceFastEndpointsFree) {
  this->Add(kFast, 0.62, 1, kTaskCpu);
  this->Add(kSlow, 1.67, 10, kTaskCpu);
  EXPECT_EQ(this->ChosenKind(MakeRequirements(80), true), "slow");
}

// Guards against short tasks at fast endpoints when nothing speaks for these.
TEST_F(FastEndpointTest, ShortTasksLeaveFreeFastEndpointsToOthersIfEqual) {
  this->Add(kFast, 0.62, 10, 2 * kTaskCpu);
  this->Add(kMean, 1, 10, 2 * kTaskCpu);
  EXPECT_EQ(this->ChosenKind(MakeRequirements(60)), "mean");
}

// Short tasks waited for the few slow endpoints, or missed their objective
// there, since fast endpoints cost the same whether they were needed or not.
TEST_F(FastEndpointTest, ShortTasksUseFreeFastEndpointsWhenSlowOnesAreTooSlow) {
  this->Add(kFast, 0.62, 10, 2 * kTaskCpu);
  this->Add(kSlow, 1.9, 10, kTaskCpu);
  EXPECT_EQ(this->ChosenKind(MakeRequirements(80)), "fast");
}

// While slow endpoints are free and all fast ones are taken, a long task waited
// for a fast one and was rejected, although it had a chance of 24%.
TEST_F(FastEndpointTest, LongTaskUsesFreeSlowEndpointWithFairChance) {
  this->Add(kFast, 0.62, 0, 0);
  this->Add(kSlow, 1.67, 10, kTaskCpu);
  EXPECT_EQ(this->ChosenKind(MakeRequirements(1'230)), "slow");
}

// Guards against long tasks that take scarce slow endpoints with little chance
// (incident large-jobs-not-served).
TEST_F(FastEndpointTest, LongTaskWaitsWhenSlowEndpointsAreScarce) {
  this->Add(kFast, 0.62, 0, 0);
  this->Add(kSlow, 1.67, 1, kTaskCpu);
  EXPECT_EQ(this->ChosenKind(MakeRequirements(1'230), true), "none");
}

TEST_F(FastEndpointTest, LongTaskWaitsWhenItHasLittleChanceAtFreeSlowEndpoint) {
  this->Add(kFast, 0.62, 0, 0);
  this->Add(kSlow, 1.67, 10, kTaskCpu);
  EXPECT_EQ(this->ChosenKind(MakeRequirements(1'450)), "none");
}

}  // namespace
}  // namespace hawthornwheel::jobs
