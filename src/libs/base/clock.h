#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace hawthornwheel::base {

/// Time span in microseconds.
using Duration = std::chrono::microseconds;

/// Clock type of TimePoint. Its time continues while the VM is suspended.
struct BootTime {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  // NOLINTNEXTLINE(readability-identifier-naming): name set by std
  static constexpr bool is_steady = true;
};

/// Instant, as the time since the boot of this VM.
using TimePoint = std::chrono::time_point<BootTime, Duration>;

/// Identifies a timer of a Clock; 0 means no timer.
using TimerId = std::uint64_t;

/// Provides the time and timers. All code gets the time from a Clock, so that
/// tests can pause and advance it. Callbacks run on the thread of the main
/// loop, never from within StartTimer().
class Clock {
 public:
  virtual ~Clock() = default;

  /// Returns the time since boot, including time spent suspended.
  virtual TimePoint Now() const = 0;

  /// Returns the wall-clock time in milliseconds since the Unix epoch. Use it
  /// for records and logs only.
  virtual std::int64_t WallMilliseconds() const = 0;

  /// Runs `callback` once after `delay`. Returns the ID of the timer.
  virtual TimerId StartTimer(Duration delay,
                             std::function<void()> callback) = 0;

  /// Cancels a timer. Does nothing for 0 or a timer that has already run.
  virtual void CancelTimer(TimerId id) = 0;
};

}  // namespace hawthornwheel::base
