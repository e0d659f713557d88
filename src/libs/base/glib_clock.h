#pragma once

#include <memory>

#include "base/clock.h"

namespace hawthornwheel::base {

/// Clock of the GLib main loop on the default main context. Time comes from
/// CLOCK_BOOTTIME.
class GlibClock final : public Clock {
 public:
  GlibClock();
  ~GlibClock() override;

  /// Adds `offset` to the time of day from now on; for tests with clocks that
  /// are off.
  void SetWallOffset(Duration offset);

  TimePoint Now() const override;
  std::int64_t WallMilliseconds() const override;
  TimerId StartTimer(Duration delay, std::function<void()> callback) override;
  void CancelTimer(TimerId id) override;

  /// Longest time that the timers of one turn have kept the loop busy.
  Duration LongestDispatch() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::base
