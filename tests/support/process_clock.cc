#include "support/process_clock.h"

#include <utility>

namespace hawthornwheel::testing {

ProcessClock::ProcessClock(base::Clock& shared_clock)
    : shared_clock(shared_clock), state(std::make_shared<State>()) {}

ProcessClock::~ProcessClock() { this->state->running = false; }

base::TimerId ProcessClock::StartTimer(base::Duration delay,
                                       std::function<void()> callback) {
  const base::TimerId id = this->next_id++;
  // A callback that a pause has deferred can still be cancelled.
  auto run = [this, id, callback = std::move(callback)] {
    if (this->shared_ids.erase(id) > 0) callback();
  };
  this->shared_ids[id] =
      this->shared_clock.StartTimer(delay, this->Guard(std::move(run)));
  return id;
}

void ProcessClock::CancelTimer(base::TimerId id) {
  const auto found = this->shared_ids.find(id);
  if (found == this->shared_ids.end()) return;
  this->shared_clock.CancelTimer(found->second);
  this->shared_ids.erase(found);
}

void ProcessClock::State::Run(std::function<void()> callback) {
  if (!this->running) return;
  if (this->paused) {
    this->deferred.push_back(std::move(callback));
    return;
  }
  callback();
}

std::function<void()> ProcessClock::Guard(std::function<void()> callback) {
  return [state = this->state, callback = std::move(callback)] {
    state->Run(callback);
  };
}

ProcessClock::Runner ProcessClock::GetRunner() const {
  return [state = this->state](std::function<void()> callback) {
    state->Run(std::move(callback));
  };
}

void ProcessClock::RunFirst(std::function<void()> callback) {
  if (this->state->paused) {
    this->state->first.push_back(std::move(callback));
    return;
  }
  callback();
}

void ProcessClock::Pause() { this->state->paused = true; }

void ProcessClock::Resume() {
  const std::shared_ptr<State> state = this->state;
  state->paused = false;
  const auto first = std::exchange(state->first, {});
  for (const auto& callback : first) callback();
  const auto deferred = std::move(state->deferred);
  state->deferred.clear();
  for (const auto& callback : deferred) {
    if (state->running) callback();
  }
}

}  // namespace hawthornwheel::testing
