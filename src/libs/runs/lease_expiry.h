#pragma once

#include "base/clock.h"

namespace hawthornwheel::runs {

/// Tracks the latest time by the local clock at which the leases at an endpoint
/// expire without a further renewal. A restart of the endpoint does not end it.
class LeaseExpiry {
 public:
  /// Tracks leases of which none lasts beyond `now`.
  explicit LeaseExpiry(base::TimePoint now);

  /// Records that an order which extends the leases by `lease` is sent at
  /// `now`.
  void Extend(base::TimePoint now, base::Duration lease);

  /// Returns the longest lease that has expired within `time` when an order
  /// that is sent now grants it; 0 if there is none.
  static base::Duration LongestLease(base::Duration time);

  /// Returns the time from `now` until the leases have expired; 0 after that.
  base::Duration TimeLeft(base::TimePoint now) const;

 private:
  base::TimePoint time;
};

}  // namespace hawthornwheel::runs
