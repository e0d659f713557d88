#include "base/log_sink.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>

namespace hawthornwheel::base {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
// Maximum size of the lines buffered for a slow reader; further lines are
// dropped.
constexpr std::size_t kMaxPendingBytes = 256 << 10;
// Size at which the buffered lines are written. Lines are written in batches,
// because a write() call for one line costs as much as producing the line.
constexpr std::size_t kFlushBytes = 8 << 10;

}  // namespace

class LogSink::Private {
 public:
  Private(const Clock& clock, int descriptor, Limits limits)
      : clock(clock),
        descriptor(descriptor),
        limits(limits),
        tokens(limits.burst),
        last_refill(clock.Now()) {}

  bool TakeToken() {
    const TimePoint now = this->clock.Now();
    const auto elapsed_us =
        static_cast<double>((now - this->last_refill).count());
    this->last_refill = now;
    this->tokens = std::min(this->limits.burst,
                            this->tokens + elapsed_us / kMicrosecondsPerSecond *
                                               this->limits.lines_per_second);
    if (this->tokens < 1) return false;
    this->tokens -= 1;
    return true;
  }

  void Flush() {
    while (!this->pending.empty()) {
      const ssize_t written =
          write(this->descriptor, this->pending.data(), this->pending.size());
      if (written <= 0) return;
      this->pending.erase(0, static_cast<std::size_t>(written));
    }
  }

  const Clock& clock;
  int descriptor;
  Limits limits;
  double tokens;
  TimePoint last_refill;
  std::string pending;
  std::uint64_t dropped = 0;
  std::uint64_t reported_dropped = 0;
};

LogSink::LogSink(const Clock& clock, int descriptor, Limits limits)
    : d(std::make_unique<Private>(clock, descriptor, limits)) {
  const int flags = fcntl(descriptor, F_GETFL, 0);
  if (flags >= 0) fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

LogSink::~LogSink() { this->d->Flush(); }

void LogSink::Write(const std::string& line, bool important) {
  const bool full = this->d->pending.size() + line.size() > kMaxPendingBytes;
  if (full || (!this->d->TakeToken() && !important)) {
    ++this->d->dropped;
    this->d->Flush();
    return;
  }
  if (this->d->dropped != this->d->reported_dropped) {
    this->d->pending += fmt::format(
        "level=warning part=log msg=\"Lines were left out.\" lines={}\n",
        this->d->dropped - this->d->reported_dropped);
    this->d->reported_dropped = this->d->dropped;
  }
  this->d->pending +=
      fmt::format("time_ms={} ", this->d->clock.WallMilliseconds());
  this->d->pending += line;
  this->d->pending += '\n';
  if (important || this->d->pending.size() >= kFlushBytes) this->d->Flush();
}

void LogSink::Flush() { this->d->Flush(); }

std::uint64_t LogSink::Dropped() const { return this->d->dropped; }

}  // namespace hawthornwheel::base
