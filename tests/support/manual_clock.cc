#include "support/manual_clock.h"

#include <algorithm>

namespace hawthornwheel::testing {
namespace {

constexpr std::int64_t kEpochMilliseconds = 1'700'000'000'000;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

}  // namespace

std::int64_t ManualClock::WallMilliseconds() const {
  return kEpochMilliseconds +
         this->now.time_since_epoch().count() / kMicrosecondsPerMillisecond;
}

base::TimerId ManualClock::StartTimer(base::Duration delay,
                                      std::function<void()> callback) {
  const base::TimerId id = this->next_id++;
  const base::TimePoint deadline =
      this->now + std::max(delay, base::Duration{0});
  this->queue.emplace(Deadline{deadline, id}, std::move(callback));
  this->deadlines[id] = deadline;
  return id;
}

void ManualClock::CancelTimer(base::TimerId id) {
  const auto found = this->deadlines.find(id);
  if (found == this->deadlines.end()) return;
  this->queue.erase({found->second, id});
  this->deadlines.erase(found);
}

void ManualClock::Advance(base::Duration span) {
  const base::TimePoint end = this->now + span;
  while (!this->queue.empty() && this->queue.begin()->first.first <= end) {
    const auto next = this->queue.begin();
    this->now = std::max(this->now, next->first.first);
    const std::function<void()> callback = std::move(next->second);
    this->deadlines.erase(next->first.second);
    this->queue.erase(next);
    callback();
  }
  this->now = end;
}

}  // namespace hawthornwheel::testing
