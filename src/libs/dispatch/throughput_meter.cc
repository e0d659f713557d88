#include "dispatch/throughput_meter.h"

#include <chrono>

namespace hawthornwheel::dispatch {
namespace {

constexpr base::Duration kWindow = std::chrono::milliseconds(500);
// Weight of the latest window in the exponential moving average, 0 to 1.
constexpr double kGain = 0.5;
constexpr double kMicrosecondsPerSecond = 1e6;
// Time without a start or an arrival after which the estimate no longer holds.
constexpr base::Duration kStaleAfter = std::chrono::seconds(5);

}  // namespace

void ThroughputMeter::OnStart(base::TimePoint now, std::uint32_t queued) {
  this->AdvanceWindow(now);
  ++this->starts;
  if (queued == 0) this->busy = false;
}

void ThroughputMeter::OnArrival(base::TimePoint now, std::uint32_t queued) {
  this->AdvanceWindow(now);
  if (queued > 0) return;
  // The queue was empty, so a new busy period begins.
  this->window_start = now;
  this->starts = 0;
  this->busy = true;
  this->rate = 0;
}

double ThroughputMeter::Rate(base::TimePoint now) const {
  return now - this->window_start < kStaleAfter ? this->rate : 0;
}

void ThroughputMeter::AdvanceWindow(base::TimePoint now) {
  const base::Duration elapsed = now - this->window_start;
  if (elapsed < kWindow) return;
  if (this->busy) {
    const double observed_rate = this->starts * kMicrosecondsPerSecond /
                                 static_cast<double>(elapsed.count());
    this->rate = this->rate == 0
                     ? observed_rate
                     : this->rate + kGain * (observed_rate - this->rate);
  }
  this->window_start = now;
  this->starts = 0;
}

}  // namespace hawthornwheel::dispatch
