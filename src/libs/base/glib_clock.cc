#include "base/glib_clock.h"

#include <glib.h>
#include <time.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace hawthornwheel::base {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;

}  // namespace

// One GSource serves all timers, since GLib visits every source in each turn of
// the loop.
class GlibClock::Private {
 public:
  using Deadline = std::pair<TimePoint, TimerId>;

  struct TimerSource {
    GSource source;
    Private* owner;
  };

  explicit Private(const GlibClock& clock) : clock(clock) {
    static GSourceFuncs functions = {nullptr, nullptr, &Private::Dispatch,
                                     nullptr, nullptr, nullptr};
    this->source = g_source_new(&functions, sizeof(TimerSource));
    reinterpret_cast<TimerSource*>(this->source)->owner = this;
    g_source_attach(this->source, nullptr);
  }

  ~Private() {
    g_source_destroy(this->source);
    g_source_unref(this->source);
  }

  void Arm() {
    if (this->queue.empty()) {
      g_source_set_ready_time(this->source, -1);
      return;
    }
    const Duration left = this->queue.begin()->first.first - this->clock.Now();
    const std::int64_t delay = std::max<std::int64_t>(left.count(), 0);
    g_source_set_ready_time(this->source, g_get_monotonic_time() + delay);
  }

  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer) {
    reinterpret_cast<TimerSource*>(source)->owner->RunDue();
    return G_SOURCE_CONTINUE;
  }

  void RunDue() {
    const TimePoint start = this->clock.Now();
    // Timers started by a callback wait for the next turn.
    const TimerId last_id = this->next_id;
    auto next = this->queue.begin();
    while (next != this->queue.end() && next->first.first <= start) {
      const TimerId id = next->first.second;
      if (id >= last_id) {
        ++next;
        continue;
      }
      const std::function<void()> callback = std::move(next->second);
      this->queue.erase(next);
      this->deadlines.erase(id);
      callback();
      next = this->queue.begin();
    }
    this->longest = std::max(this->longest, this->clock.Now() - start);
    this->Arm();
  }

  const GlibClock& clock;
  GSource* source = nullptr;
  TimerId next_id = 1;
  std::map<Deadline, std::function<void()>> queue;
  std::unordered_map<TimerId, TimePoint> deadlines;
  Duration longest{0};
};

GlibClock::GlibClock() : d(std::make_unique<Private>(*this)) {}

GlibClock::~GlibClock() = default;

TimePoint GlibClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Duration(now.tv_sec * kMicrosecondsPerSecond +
                            now.tv_nsec / kNanosecondsPerMicrosecond));
}

std::int64_t GlibClock::WallMilliseconds() const {
  return g_get_real_time() / kMicrosecondsPerMillisecond;
}

TimerId GlibClock::StartTimer(Duration delay, std::function<void()> callback) {
  const TimerId id = this->d->next_id++;
  const TimePoint deadline = this->Now() + std::max(delay, Duration{0});
  const auto [position, inserted] = this->d->queue.emplace(
      Private::Deadline{deadline, id}, std::move(callback));
  this->d->deadlines[id] = deadline;
  if (position == this->d->queue.begin()) this->d->Arm();
  return id;
}

void GlibClock::CancelTimer(TimerId id) {
  const auto found = this->d->deadlines.find(id);
  if (found == this->d->deadlines.end()) return;
  this->d->queue.erase({found->second, id});
  this->d->deadlines.erase(found);
}

Duration GlibClock::LongestCallback() const { return this->d->longest; }

}  // namespace hawthornwheel::base
