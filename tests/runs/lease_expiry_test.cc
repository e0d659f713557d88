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

// Guards against TWICE: a lease that lasts beyond the time to which it is
// limited.
TEST(LeaseExpiryTest, LongestLeaseHasExpiredInTime) {
  for (int ms = 0; ms <= 1'300; ++ms) {
    const base::Duration lease = LeaseExpiry::LongestLease(milliseconds(ms));
    EXPECT_GE(lease, milliseconds(0));
    if (lease == milliseconds(0)) continue;
    LeaseExpiry expiry(kStart);
    expiry.Extend(kStart, lease);
    EXPECT_LE(expiry.TimeLeft(kStart), milliseconds(ms));
    EXPECT_GT(expiry.TimeLeft(kStart), milliseconds(ms - 1));
  }
  EXPECT_EQ(LeaseExpiry::LongestLease(milliseconds(1'050)), seconds(1));
  EXPECT_EQ(LeaseExpiry::LongestLease(milliseconds(30)), milliseconds(0));
  EXPECT_EQ(LeaseExpiry::LongestLease(milliseconds(-500)), milliseconds(0));
}

}  // namespace
}  // namespace hawthornwheel::testing
