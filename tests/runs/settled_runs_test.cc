#include "runs/settled_runs.h"

#include <gtest/gtest.h>

#include <chrono>

namespace hawthornwheel::testing {
namespace {

using runs::RunOutcome;
using runs::SettledRuns;
using runs::SettlementEvidence;
using std::chrono::seconds;

SettledRuns::Settlement SettlementAt(base::TimePoint time) {
  return {RunOutcome::kNotRun, SettlementEvidence::kStartRefused, 1, 2, time};
}

TEST(SettledRunsTest, RunIsFoundByItsTaskAndNumber) {
  SettledRuns settled;
  settled.Add("a", 1, SettlementAt(base::TimePoint(seconds(1))));
  const auto found = settled.Find("a", 1);
  ASSERT_TRUE(found.has_value());
  EXPECT_EQ(found->evidence, SettlementEvidence::kStartRefused);
  EXPECT_FALSE(settled.Find("a", 2).has_value());
  EXPECT_FALSE(settled.Find("b", 1).has_value());
}

// Guards against memory that grows with each settled run. An order is carried
// out up to 12 s late, so a run must be remembered for that long.
TEST(SettledRunsTest, RunIsForgottenAfterTheLastLateOrder) {
  SettledRuns settled;
  settled.Add("a", 1, SettlementAt(base::TimePoint(seconds(1))));
  settled.Add("b", 1, SettlementAt(base::TimePoint(seconds(13))));
  EXPECT_TRUE(settled.Find("a", 1).has_value());
  settled.Add("c", 1, SettlementAt(base::TimePoint(seconds(17))));
  EXPECT_FALSE(settled.Find("a", 1).has_value());
  EXPECT_TRUE(settled.Find("b", 1).has_value());
}

}  // namespace
}  // namespace hawthornwheel::testing
