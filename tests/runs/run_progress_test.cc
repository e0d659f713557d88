#include "runs/run_progress.h"

#include <gtest/gtest.h>

#include <chrono>

namespace hawthornwheel::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TimePoint kStart{seconds(10)};

TEST(RunProgressTest, EarlyReadingGivesNoProjection) {
  runs::RunProgress progress(kStart);
  EXPECT_FALSE(progress.AddReading(50, kStart + milliseconds(50)).has_value());
}

TEST(RunProgressTest, RemainingTimeFollowsPaceSinceLastReading) {
  runs::RunProgress progress(kStart);
  // 79.5% remain after 20.5% in 100 ms.
  EXPECT_EQ(progress.AddReading(20, kStart + milliseconds(100)),
            microseconds(487'804));
  // 69.5% remain after 10% in the last 100 ms.
  EXPECT_EQ(progress.AddReading(30, kStart + milliseconds(200)),
            milliseconds(895));
}

// Long tasks were ended at the first reading of their progress: the lower end
// of the percent projected 1.6 s for a run that may well end within 1.5 s.
TEST(RunProgressTest, RunAtTenPercentAfter160MsIsProjectedToTake1524Ms) {
  runs::RunProgress progress(kStart);
  EXPECT_EQ(progress.AddReading(10, kStart + milliseconds(160)),
            microseconds(1'523'809));
}

TEST(RunProgressTest, CompleteRunHasNoRemainingTime) {
  runs::RunProgress progress(kStart);
  EXPECT_EQ(progress.AddReading(100, kStart + milliseconds(100)),
            milliseconds(100));
}

// The middle of 0% is above 0, but a run that reports 0% has shown no progress.
TEST(RunProgressTest, RunAtZeroPercentCountsAsStalled) {
  runs::RunProgress progress(kStart);
  const auto projected = progress.AddReading(0, kStart + milliseconds(100));
  ASSERT_TRUE(projected.has_value());
  EXPECT_GT(*projected, seconds(30));
}

TEST(RunProgressTest, StalledRunIsProjectedToTakeLong) {
  runs::RunProgress progress(kStart);
  progress.AddReading(90, kStart + milliseconds(100));
  const auto projected = progress.AddReading(90, kStart + milliseconds(200));
  ASSERT_TRUE(projected.has_value());
  EXPECT_GT(*projected, seconds(30));
}

}  // namespace
}  // namespace hawthornwheel::testing
