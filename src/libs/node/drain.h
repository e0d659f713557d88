#pragma once

#include <deque>
#include <functional>

#include "base/clock.h"
#include "base/timer.h"

namespace hawthornwheel::node {

class Drainable;

/// Ends the work of a process within a given time after its stop was requested.
/// The process serves on for at least 2.5 s, because callers notice the stop
/// late, and stops as soon as nothing is open after that. Jobs that are open
/// near the end of the time are interrupted and answered.
class Drain {
 public:
  /// `time` is the maximum time from the request to the end of the process.
  /// Calls `on_drained` when the process may end. References must outlive the
  /// drain.
  Drain(base::Clock& clock, Drainable& work, base::Duration time,
        std::function<void()> on_drained);

  /// Begins to drain. `requested_at` is the time at which the stop was
  /// requested.
  void Begin(base::TimePoint requested_at);

  /// Interrupts the open jobs now. The process stops once they are answered.
  void Hasten();

  bool HasBegun() const { return this->begun; }

  /// Changes the maximum time, also of a drain that has begun.
  void SetTime(base::Duration time) { this->time = time; }

 private:
  enum class Cause { kIdle, kInterrupted, kOutOfTime };
  static const char* NameOf(Cause cause);

  void Check();
  void RecordDelay();
  base::Duration TimeLeft() const;
  base::Duration InterruptReserve() const;
  void LimitNewJobs();
  void Finish(Cause cause);

  base::Clock& clock;
  Drainable& work;
  base::Duration time;
  std::function<void()> on_drained;
  base::TimePoint requested_at;
  base::TimePoint begun_at;
  /// Time of the latest check.
  base::TimePoint checked_at;
  /// Latenesses of the latest checks, the newest last.
  std::deque<base::Duration> delays;
  bool begun = false;
  bool interrupted = false;
  base::Timer check_timer;
};

}  // namespace hawthornwheel::node
