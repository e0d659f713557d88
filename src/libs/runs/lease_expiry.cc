#include "runs/lease_expiry.h"

#include <algorithm>
#include <chrono>

namespace hawthornwheel::runs {
namespace {

// Clocks of endpoints may run 2% slow, so a lease lasts up to 1.02 times as
// long by the local clock. The margin covers rounding and network delay.
constexpr int kSlowClockPercent = 102;
constexpr int kWholePercent = 100;
constexpr base::Duration kMargin = std::chrono::milliseconds(30);

}  // namespace

LeaseExpiry::LeaseExpiry(base::TimePoint now) : time(now) {}

void LeaseExpiry::Extend(base::TimePoint now, base::Duration lease) {
  this->time = std::max(
      this->time, now + lease * kSlowClockPercent / kWholePercent + kMargin);
}

base::Duration LeaseExpiry::LongestLease(base::Duration time) {
  return std::max(base::Duration{0},
                  (time - kMargin) * kWholePercent / kSlowClockPercent);
}

base::Duration LeaseExpiry::TimeLeft(base::TimePoint now) const {
  return std::max(base::Duration{0}, this->time - now);
}

}  // namespace hawthornwheel::runs
