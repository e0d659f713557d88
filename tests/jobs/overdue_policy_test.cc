#include "jobs/overdue_policy.h"

#include <gtest/gtest.h>

#include <chrono>

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

struct LimitCase {
  const char* name;
  /// Value of the capacity of the run's endpoint.
  double value;
  double chance;
  OverdueAction action;
};

class OverduePolicyTest : public ::testing::TestWithParam<LimitCase> {};

// Guards against a limit that does not follow the value, or that jumps: then
// processes that see slightly different loads would decide differently.
TEST_P(OverduePolicyTest, LowestChanceFollowsValueOfCapacity) {
  Candidate own;
  own.endpoint = "e";
  own.service = "s";
  own.capacity_value = GetParam().value;
  TaskRequirements requirements;
  requirements.service = "s";
  requirements.resources = {1'000, 1, 0};
  requirements.estimate = milliseconds(900);
  requirements.deadline = milliseconds(1'300);
  // The only other endpoint is busy and as slow, so the job cannot move.
  Candidate busy = own;
  busy.endpoint = "f";
  OverduePolicy policy({own, busy});
  const OverdueDecision decision = policy.Decide(
      {"e", milliseconds(1'800), 1, GetParam().chance}, requirements);
  EXPECT_EQ(decision.action, GetParam().action);
}

INSTANTIATE_TEST_SUITE_P(
    Table, OverduePolicyTest,
    ::testing::Values(
        LimitCase{"FreeAndPossible", 0, 0.011, OverdueAction::kContinue},
        LimitCase{"FreeAndHopeless", 0, 0.009, OverdueAction::kEndJob},
        LimitCase{"HalfFreeAndPossible", 0.5, 0.06, OverdueAction::kContinue},
        LimitCase{"HalfFreeAndUnlikely", 0.5, 0.05, OverdueAction::kEndJob},
        LimitCase{"ScarceAndPossible", 1, 0.101, OverdueAction::kContinue},
        LimitCase{"ScarceAndUnlikely", 1, 0.099, OverdueAction::kEndJob}),
    [](const auto& row) { return row.param.name; });

// An endpoint that takes no tasks at present is not among the candidates.
TEST(UnknownEndpointTest, RunAtUnknownEndpointIsJudgedAsAtScarceOne) {
  TaskRequirements requirements;
  requirements.estimate = milliseconds(900);
  requirements.deadline = milliseconds(1'300);
  const OverdueDecision decision = OverduePolicy({}).Decide(
      {"e", milliseconds(1'800), 1, 0.05}, requirements);
  EXPECT_DOUBLE_EQ(decision.value, 1);
  EXPECT_NE(decision.action, OverdueAction::kContinue);
}

}  // namespace
}  // namespace hawthornwheel::jobs
