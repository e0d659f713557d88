#pragma once

#include <functional>

#include "base/clock.h"

namespace hawthornwheel::base {

/// Timer that stops when it is destroyed, so a callback never outlives its
/// owner.
class Timer {
 public:
  /// `clock` must outlive the timer.
  explicit Timer(Clock& clock);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  /// Runs `callback` once after `delay`; replaces what was set before.
  void StartOnce(Duration delay, std::function<void()> callback);

  /// Runs `callback` every `interval`, the first time after one interval.
  void StartPeriodic(Duration interval, std::function<void()> callback);

  /// Stops the timer.
  void Stop();

  /// Whether a callback is due.
  bool IsActive() const;

 private:
  void ScheduleNext(Duration interval);

  Clock& clock;
  TimerId id = 0;
  std::function<void()> callback;
};

}  // namespace hawthornwheel::base
