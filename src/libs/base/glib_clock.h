#pragma once

#include <memory>

#include "base/clock.h"

namespace hawthornwheel::base {

/// Runs timers on the GLib main loop of the default main context. Reads the
/// time from CLOCK_BOOTTIME.
class GlibClock final : public Clock {
 public:
  GlibClock();
  ~GlibClock() override;

  /// Sets the offset that is added to the wall-clock time. Tests use it to
  /// simulate wrong clocks.
  void SetWallOffset(Duration offset);

  /// Returns the time of all clocks of this type. Is async-signal-safe.
  static TimePoint CurrentTime();

  TimePoint Now() const override;
  std::int64_t WallMilliseconds() const override;
  TimerId StartTimer(Duration delay, std::function<void()> callback) override;
  void CancelTimer(TimerId id) override;

  /// Returns the longest time for which the timers of one loop iteration have
  /// blocked the loop.
  Duration LongestDispatch() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::base
