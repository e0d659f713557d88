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
// Upper bound of the timeout passed to the main loop, in milliseconds. Timers
// with a longer delay wait for several loop iterations.
constexpr std::int64_t kMaxWaitMs = 3'600'000;
// Lateness of a timer above which the process counts as paused. Timers then run
// after kInputIterations of the loop, in which everything that has arrived
// meanwhile is read: a closed connection, a peer's message or an endpoint's
// answer may forbid what a timer would do.
constexpr Duration kPauseThreshold{400'000};
constexpr int kInputIterations = 3;
// Maximum number of rounds over the due timers in one dispatch, so that the
// other sources of the loop are served too.
constexpr int kMaxRounds = 4;

}  // namespace

// Serves all timers with one GSource, because GLib visits every source in each
// loop iteration.
class GlibClock::Private {
 public:
  using Deadline = std::pair<TimePoint, TimerId>;

  struct TimerSource {
    GSource source;
    Private* owner;
  };

  explicit Private(const GlibClock& clock) : clock(clock) {
    static GSourceFuncs functions = {
        &Private::Prepare, &Private::Check, &Private::Dispatch,
        nullptr,           nullptr,         nullptr};
    this->source = g_source_new(&functions, sizeof(TimerSource));
    reinterpret_cast<TimerSource*>(this->source)->owner = this;
    g_source_attach(this->source, nullptr);
  }

  ~Private() {
    g_source_destroy(this->source);
    g_source_unref(this->source);
  }

  static Private& OwnerOf(GSource* source) {
    return *reinterpret_cast<TimerSource*>(source)->owner;
  }

  // Computes the timeout in each loop iteration. Setting the ready time of the
  // source instead would wake the loop each time a timer is started.
  static gboolean Prepare(GSource* source, gint* timeout) {
    const Private& self = OwnerOf(source);
    *timeout = -1;
    if (self.queue.empty()) return FALSE;
    const Duration remaining =
        self.queue.begin()->first.first - self.clock.Now();
    if (remaining <= Duration{0}) return TRUE;
    *timeout = static_cast<gint>(std::min<std::int64_t>(
        remaining.count() / kMicrosecondsPerMillisecond + 1, kMaxWaitMs));
    return FALSE;
  }

  static gboolean Check(GSource* source) {
    const Private& self = OwnerOf(source);
    return !self.queue.empty() &&
           self.queue.begin()->first.first <= self.clock.Now();
  }

  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer) {
    Private& self = OwnerOf(source);
    if (self.WasPaused() && self.deferred_iterations < kInputIterations) {
      ++self.deferred_iterations;
      return G_SOURCE_CONTINUE;
    }
    self.deferred_iterations = 0;
    self.RunDue();
    return G_SOURCE_CONTINUE;
  }

  // Returns whether the process has not run for a while: the earliest timer is
  // long overdue.
  bool WasPaused() const {
    return !this->queue.empty() &&
           this->clock.Now() - this->queue.begin()->first.first >
               kPauseThreshold;
  }

  // Runs the due timers. Timers without a delay are often started by the
  // callbacks of others, so a few rounds save as many loop iterations.
  void RunDue() {
    const TimePoint start = this->clock.Now();
    for (int round = 0; round < kMaxRounds && this->RunRound(); ++round) {
    }
    this->longest_dispatch =
        std::max(this->longest_dispatch, this->clock.Now() - start);
  }

  // Returns whether a callback has started a timer that is due.
  bool RunRound() {
    const TimePoint start = this->clock.Now();
    // Timers started by a callback wait for the next round.
    const TimerId first_new_id = this->next_id;
    auto next = this->queue.begin();
    while (next != this->queue.end() && next->first.first <= start) {
      const TimerId id = next->first.second;
      if (id >= first_new_id) {
        ++next;
        continue;
      }
      const std::function<void()> callback = std::move(next->second);
      this->queue.erase(next);
      this->deadlines.erase(id);
      callback();
      next = this->queue.begin();
    }
    return !this->queue.empty() &&
           this->queue.begin()->first.first <= this->clock.Now();
  }

  const GlibClock& clock;
  GSource* source = nullptr;
  TimerId next_id = 1;
  std::map<Deadline, std::function<void()>> queue;
  std::unordered_map<TimerId, TimePoint> deadlines;
  Duration longest_dispatch{0};
  /// Iterations since a pause in which the timers have not run yet.
  int deferred_iterations = 0;
  Duration wall_offset{0};
};

GlibClock::GlibClock() : d(std::make_unique<Private>(*this)) {}

GlibClock::~GlibClock() = default;

TimePoint GlibClock::Now() const { return CurrentTime(); }

TimePoint GlibClock::CurrentTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Duration(now.tv_sec * kMicrosecondsPerSecond +
                            now.tv_nsec / kNanosecondsPerMicrosecond));
}

std::int64_t GlibClock::WallMilliseconds() const {
  return (g_get_real_time() + this->d->wall_offset.count()) /
         kMicrosecondsPerMillisecond;
}

void GlibClock::SetWallOffset(Duration offset) {
  this->d->wall_offset = offset;
}

TimerId GlibClock::StartTimer(Duration delay, std::function<void()> callback) {
  const TimerId id = this->d->next_id++;
  const TimePoint deadline = this->Now() + std::max(delay, Duration{0});
  this->d->queue.emplace(Private::Deadline{deadline, id}, std::move(callback));
  this->d->deadlines[id] = deadline;
  return id;
}

void GlibClock::CancelTimer(TimerId id) {
  const auto found = this->d->deadlines.find(id);
  if (found == this->d->deadlines.end()) return;
  this->d->queue.erase({found->second, id});
  this->d->deadlines.erase(found);
}

Duration GlibClock::LongestDispatch() const {
  return this->d->longest_dispatch;
}

}  // namespace hawthornwheel::base
