#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace hawthornwheel::base {

/// Span of time in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of a time line that counts time while the machine is suspended.
struct BootTime {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  // NOLINTNEXTLINE(readability-identifier-naming): name set by std
  static constexpr bool is_steady = true;
};

/// Instant on the boot time line of this machine.
using TimePoint = std::chrono::time_point<BootTime, Duration>;

/// Names a timer of a Clock; 0 names none.
using TimerId = std::uint64_t;

/// Source of time and timers. All code asks it for the time, so that tests can
/// pause and advance it. Callbacks run on the loop's thread, never from within
/// StartTimer().
class Clock {
 public:
  virtual ~Clock() = default;

  /// Time since boot, suspended time included.
  virtual TimePoint Now() const = 0;

  /// Wall time in milliseconds since the Unix epoch; for records and logs only.
  virtual std::int64_t WallMilliseconds() const = 0;

  /// Runs `callback` once after `delay`.
  virtual TimerId StartTimer(Duration delay,
                             std::function<void()> callback) = 0;

  /// Stops a timer; does nothing for one that has run or for 0.
  virtual void CancelTimer(TimerId id) = 0;
};

}  // namespace hawthornwheel::base
