#include "runs/run_progress.h"

#include <gtest/gtest.h>

#include <chrono>

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TimePoint kStart{seconds(10)};

TEST(RunProgressTest, EarlyReadingGivesNoProjection) {
  runs::RunProgress progress(kStart);
  EXPECT_FALSE(progress.AddReading(50, kStart + milliseconds(50)).has_value());
}

TEST(RunProgressTest, RemainingTimeFollowsPaceSinceLastReading) {
  runs::RunProgress progress(kStart);
  EXPECT_EQ(progress.AddReading(20, kStart + milliseconds(100)),
            milliseconds(500));
  EXPECT_EQ(progress.AddReading(30, kStart + milliseconds(200)),
            milliseconds(900));
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
