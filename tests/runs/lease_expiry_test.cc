#include "runs/lease_expiry.h"

#include <gtest/gtest.h>

#include <chrono>

namespace hawthornwheel::testing {
namespace {

using runs::LeaseExpiry;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TimePoint kStart{seconds(10)};

TEST(LeaseExpiryTest, LeaseAllowsForSlowClockOfEndpoint) {
  LeaseExpiry expiry(kStart);
  EXPECT_EQ(expiry.TimeLeft(kStart), milliseconds(0));
  expiry.Extend(kStart, seconds(1));
  EXPECT_EQ(expiry.TimeLeft(kStart), milliseconds(1'050));
  EXPECT_EQ(expiry.TimeLeft(kStart + seconds(1)), milliseconds(50));
  EXPECT_EQ(expiry.TimeLeft(kStart + seconds(2)), milliseconds(0));
}

TEST(LeaseExpiryTest, ShorterLeaseDoesNotEndLongerOne) {
  LeaseExpiry expiry(kStart);
  expiry.Extend(kStart, seconds(1));
  expiry.Extend(kStart + milliseconds(100), milliseconds(100));
  EXPECT_EQ(expiry.TimeLeft(kStart), milliseconds(1'050));
}

}  // namespace
}  // namespace hawthornwheel::testing
