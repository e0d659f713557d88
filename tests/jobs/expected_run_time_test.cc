// Load: routes whose declared run times are off by different factors, at the
// same endpoints. The pace of an endpoint and the model of a route are both
// learned from the same runs, and must not change each other.

#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <string>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPath[] = "/a/";
constexpr char kOtherPath[] = "/b/";
constexpr base::Duration kRealTime = milliseconds(100);

class ExpectedRunTimeTest : public ::testing::Test {
 protected:
  ExpectedRunTimeTest() {
    this->fleet.Publish("1 /a/:1 /b/:1");
    this->fleet.AddEndpoint("e0", "north");
    this->fleet.AddEndpoint("e1", "north");
    this->fleet.AddProcess("north0", "north");
    this->fleet.Run(seconds(2));
  }

  void Submit(const char* path, base::Duration declared) {
    this->fleet.SubmitWithEstimate("north0", path, 1, kRealTime, declared);
    this->fleet.Run(milliseconds(60));
  }

  double PaceOf(const std::string& endpoint) {
    return this->fleet.Process("north0")
        .pool.Sessions()
        .at(endpoint)
        ->Health()
        .Pace();
  }

  // Returns the run time that is expected at an endpoint, over the real one.
  double ExpectedOverReal(const char* path, base::Duration declared,
                          const std::string& endpoint) {
    const auto expected =
        this->fleet.Process("north0").jobs.RunTimes().Expect(path, declared);
    return this->PaceOf(endpoint) *
           static_cast<double>(expected.run_time.count()) /
           static_cast<double>(kRealTime.count());
  }

  HostedFleet fleet;
};

// If the pace were measured against the expected run time, the model would keep
// the part of the bias that it learned while the paces were not known, and the
// paces would never show the rest.
TEST_F(ExpectedRunTimeTest, PaceIsMeasuredAgainstDeclaredTime) {
  const base::Duration declared = 2 * kRealTime;
  for (int i = 0; i < 1'000; ++i) this->Submit(kPath, declared);
  for (const std::string id : {"e0", "e1"}) {
    EXPECT_NEAR(this->PaceOf(id), 0.5, 0.03) << id;
    EXPECT_NEAR(this->ExpectedOverReal(kPath, declared, id), 1, 0.06) << id;
  }
}

TEST_F(ExpectedRunTimeTest, RoutesWithDifferentBiasAreBothExpectedRight) {
  for (int i = 0; i < 1'000; ++i) {
    this->Submit(kPath, kRealTime);
    this->Submit(kOtherPath, 3 * kRealTime);
  }
  for (const std::string id : {"e0", "e1"}) {
    // The paces alone are off by a factor of 1.7 for each route.
    EXPECT_NEAR(this->ExpectedOverReal(kPath, kRealTime, id), 1, 0.15) << id;
    EXPECT_NEAR(this->ExpectedOverReal(kOtherPath, 3 * kRealTime, id), 1, 0.15)
        << id;
  }
}

}  // namespace
}  // namespace hawthornwheel::testing
