#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "base/clock.h"

namespace hawthornwheel::testing {

/// Provides a clock that moves only when a test advances it.
class ManualClock final : public base::Clock {
 public:
  base::TimePoint Now() const override { return this->now; }
  std::int64_t WallMilliseconds() const override;
  base::TimerId StartTimer(base::Duration delay,
                           std::function<void()> callback) override;
  void CancelTimer(base::TimerId id) override;

  /// Advances by `span` and runs the timers that expire, in the order of their
  /// deadlines.
  void Advance(base::Duration span);

  /// Advances by `span` without running timers, as in a process that is paused
  /// or busy.
  void Stall(base::Duration span) { this->now += span; }

  /// Number of timers that have not expired.
  std::size_t PendingTimers() const { return this->queue.size(); }

 private:
  using Deadline = std::pair<base::TimePoint, base::TimerId>;

  base::TimePoint now{base::Duration{1'000'000'000}};
  base::TimerId next_id = 1;
  std::map<Deadline, std::function<void()>> queue;
  std::unordered_map<base::TimerId, base::TimePoint> deadlines;
};

}  // namespace hawthornwheel::testing
