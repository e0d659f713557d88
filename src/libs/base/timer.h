#pragma once

#include <functional>

#include "base/clock.h"

namespace hawthornwheel::base {

/// Runs a callback once or periodically. The destructor stops the timer, so
/// that the callback never runs after its owner is destroyed.
class Timer {
 public:
  /// `clock` must outlive the timer.
  explicit Timer(Clock& clock);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  /// Runs `callback` once after `delay`. Replaces a pending callback.
  void StartOnce(Duration delay, std::function<void()> callback);

  /// Runs `callback` every `interval`, starting after one interval. Replaces a
  /// pending callback.
  void StartPeriodic(Duration interval, std::function<void()> callback);

  /// Stops the timer.
  void Stop();

  /// Returns whether a callback is scheduled.
  bool IsActive() const;

 private:
  void ScheduleNext(Duration interval);

  Clock& clock;
  TimerId id = 0;
  std::function<void()> callback;
};

}  // namespace hawthornwheel::base
