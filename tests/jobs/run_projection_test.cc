#include "jobs/run_projection.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cmath>

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the chance of a run whose only reading, after `age_ms`, projects a
// run time of `expected_ms`, when `share` of the remaining time is left.
double ChanceAfter(int age_ms, int expected_ms, double share) {
  RunProjection projection;
  projection.Add(milliseconds(age_ms), milliseconds(expected_ms));
  return projection.ChanceToEndIn(
      milliseconds(std::lround((expected_ms - age_ms) * share)));
}

TEST(RunProjectionTest, RunThatIsProjectedToEndAtItsDeadlineHasEvenChance) {
  EXPECT_NEAR(ChanceAfter(160, 1'500, 1), 0.5, 0.02);
}

// Failure guarded against: a run that would end in time is ended because one
// early reading, rounded to a whole percent, is taken as exact.
TEST(RunProjectionTest, EarlierReadingIsLessCertain) {
  EXPECT_GT(ChanceAfter(60, 1'800, 0.83), ChanceAfter(160, 1'800, 0.83) + 0.01);
}

TEST(RunProjectionTest, SecondReadingNarrowsTheChance) {
  RunProjection projection;
  projection.Add(milliseconds(60), milliseconds(1'800));
  projection.Add(milliseconds(200), milliseconds(1'800));
  EXPECT_LT(projection.ChanceToEndIn(milliseconds(1'600) * 83 / 100),
            ChanceAfter(60, 1'800, 0.83) - 0.01);
}

// Failure guarded against: the progress between two readings is 12 to 14
// percents for a run of constant speed, so that projections from it alone vary
// by 15%.
TEST(RunProjectionTest, RunOfConstantSpeedIsProjectedFromWholeProgress) {
  // 10% after 160 ms and 19% after 320 ms: 9 percents since the first reading.
  RunProjection two;
  two.Add(milliseconds(160), milliseconds(1'600));
  two.Add(milliseconds(320), milliseconds(320 + 160 * 81 / 9));
  RunProjection whole;
  whole.Add(milliseconds(320), milliseconds(320 * 100 / 19));
  const auto left = milliseconds(1'180);
  EXPECT_NEAR(two.ChanceToEndIn(left), whole.ChanceToEndIn(left), 0.01);
}

// Failure guarded against: an endpoint that stalls is followed until the
// deadline, since its first progress was good.
TEST(RunProjectionTest, RunThatStallsHasNoChance) {
  RunProjection projection;
  projection.Add(milliseconds(480), milliseconds(800));
  projection.Add(milliseconds(640), milliseconds(640) + seconds(60));
  EXPECT_LT(projection.ChanceToEndIn(milliseconds(860)), 0.001);
}

TEST(RunProjectionTest, RunWithoutProgressHasNoChance) {
  EXPECT_LT(ChanceAfter(160, 60'160, 0.02), 0.001);
}

}  // namespace
}  // namespace hawthornwheel::jobs
