#include "base/timer.h"

#include <utility>

namespace hawthornwheel::base {

Timer::Timer(Clock& clock) : clock(clock) {}

Timer::~Timer() { this->Stop(); }

void Timer::StartOnce(Duration delay, std::function<void()> callback) {
  this->Stop();
  this->callback = std::move(callback);
  this->id = this->clock.StartTimer(delay, [this] {
    this->id = 0;
    const auto current_callback = std::move(this->callback);
    current_callback();
  });
}

void Timer::StartPeriodic(Duration interval, std::function<void()> callback) {
  this->Stop();
  this->callback = std::move(callback);
  this->ScheduleNext(interval);
}

void Timer::Stop() {
  this->clock.CancelTimer(this->id);
  this->id = 0;
}

bool Timer::IsActive() const { return this->id != 0; }

void Timer::ScheduleNext(Duration interval) {
  this->id = this->clock.StartTimer(interval, [this, interval] {
    this->ScheduleNext(interval);
    // The callback may stop or restart this timer, which replaces the member.
    const auto current_callback = this->callback;
    current_callback();
  });
}

}  // namespace hawthornwheel::base
