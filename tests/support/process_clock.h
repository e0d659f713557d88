#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/clock.h"

namespace hawthornwheel::testing {

/// Provides the clock of one process of a test. Pause() defers the callbacks of
/// the process until Resume(). Destroying the clock ends the process and drops
/// its callbacks.
class ProcessClock final : public base::Clock {
 public:
  /// `shared_clock` must outlive the clock.
  explicit ProcessClock(base::Clock& shared_clock);
  ~ProcessClock() override;

  base::TimePoint Now() const override { return this->shared_clock.Now(); }
  std::int64_t WallMilliseconds() const override {
    return this->shared_clock.WallMilliseconds();
  }
  base::TimerId StartTimer(base::Duration delay,
                           std::function<void()> callback) override;
  void CancelTimer(base::TimerId id) override;

  /// Returns a function that runs `callback` in this process: immediately,
  /// after the end of a pause, or not at all when the process has ended.
  std::function<void()> Guard(std::function<void()> callback);

  /// Runs callbacks in a process like Guard(). May outlive this clock.
  using Runner = std::function<void(std::function<void()>)>;
  Runner GetRunner() const;

  /// Runs `callback` in this process, after a pause before all callbacks that
  /// the pause has deferred. A process notices a closed connection of a caller
  /// before its timers run.
  void RunFirst(std::function<void()> callback);

  void Pause();
  void Resume();
  bool IsPaused() const { return this->state->paused; }

 private:
  struct State {
    void Run(std::function<void()> callback);

    bool running = true;
    bool paused = false;
    std::vector<std::function<void()>> deferred;
    /// Callbacks that run before the deferred ones.
    std::vector<std::function<void()>> first;
  };

  base::Clock& shared_clock;
  std::shared_ptr<State> state;
  base::TimerId next_id = 1;
  std::map<base::TimerId, base::TimerId> shared_ids;
};

}  // namespace hawthornwheel::testing
