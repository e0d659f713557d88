#pragma once

#include <chrono>

#include "base/clock.h"

namespace hawthornwheel::base {
class SettingsReader;
}

namespace hawthornwheel::runs {

/// Holds the settings for orders to endpoints, group `[runs]`.
struct RunSettings {
  /// Reads and validates the group. Faults are added to `reader`.
  static RunSettings Read(base::SettingsReader& reader);

  /// Duration of the lease of runs, at most 1 s. A longer one that the platform
  /// grants is not used.
  base::Duration lease = std::chrono::milliseconds(1000);
  /// Maximum time that an endpoint takes to stop a run, as bounded by the
  /// platform.
  base::Duration stop_time = std::chrono::milliseconds(50);
  /// Maximum time that a poll waits at the endpoint. The lease is renewed at
  /// this interval. The default of a shorter lease is a quarter of it.
  base::Duration poll_wait = std::chrono::milliseconds(250);
  /// Maximum time from an order to its answer, in addition to the wait of a
  /// poll. The default of a shorter lease is in proportion to it.
  base::Duration answer_time = std::chrono::milliseconds(150);
  /// Time without an answer to a start after which the endpoint is polled for
  /// its outcome. An answer takes less than 5 ms, so one that is still missing
  /// was most likely lost.
  base::Duration recheck_after = std::chrono::milliseconds(80);
};

}  // namespace hawthornwheel::runs
