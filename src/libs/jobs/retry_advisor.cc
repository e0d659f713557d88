#include "jobs/retry_advisor.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

// Time constant of the decaying counts.
constexpr double kDecayTimeMs = 3'000;
// Bounds of the advised time before jitter.
constexpr double kMinWaitMs = 1'000;
constexpr double kMaxWaitMs = 15'000;
constexpr std::size_t kMaxJitterMs = 1'000;

}  // namespace

void RetryAdvisor::RecordServed(base::TimePoint now) {
  this->Decay(now);
  this->served += 1;
}

void RetryAdvisor::RecordRejected(base::TimePoint now) {
  this->Decay(now);
  this->rejected += 1;
}

base::Duration RetryAdvisor::Advise(base::TimePoint now,
                                    const std::string& job_id) {
  this->Decay(now);
  const double backlog = this->rejected / std::max(this->served, 1.0);
  const double wait =
      std::clamp(kMinWaitMs + backlog * kDecayTimeMs, kMinWaitMs, kMaxWaitMs);
  const std::size_t jitter = std::hash<std::string>()(job_id) % kMaxJitterMs;
  return milliseconds(static_cast<std::int64_t>(wait) +
                      static_cast<std::int64_t>(jitter));
}

void RetryAdvisor::Decay(base::TimePoint now) {
  const double age_ms =
      static_cast<double>((now - this->decayed_at) / milliseconds(1));
  this->decayed_at = now;
  const double factor = std::exp(-std::max(age_ms, 0.0) / kDecayTimeMs);
  this->served *= factor;
  this->rejected *= factor;
}

}  // namespace hawthornwheel::jobs
