#pragma once

#include <chrono>

#include "base/clock.h"

namespace hawthornwheel::base {
class SettingsReader;
}

namespace hawthornwheel::runs {

/// Settings of the orders to endpoints; group `[runs]`.
struct RunSettings {
  /// Reads and checks the group.
  static RunSettings Read(base::SettingsReader& reader);

  /// Lease of runs; the platform's longest.
  base::Duration lease = std::chrono::milliseconds(1000);
  /// Time in which an endpoint stops a run; a bound of the platform.
  base::Duration stop_time = std::chrono::milliseconds(50);
  /// How long a poll waits at the endpoint; the lease is renewed as often.
  base::Duration poll_wait = std::chrono::milliseconds(250);
  /// Beyond its wait, how long an answer may take.
  base::Duration answer_time = std::chrono::milliseconds(150);
  /// After this long without an answer to a start, the endpoint is asked what
  /// became of it. Answers take under 5 ms, so most of these were lost.
  base::Duration recheck_after = std::chrono::milliseconds(80);
};

}  // namespace hawthornwheel::runs
