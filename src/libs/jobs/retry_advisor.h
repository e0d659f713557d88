#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::jobs {

/// Advises rejected callers when to retry: after the time that the demand of
/// the last seconds needs at the rate at which jobs were served, with jitter so
/// that they do not return together.
class RetryAdvisor {
 public:
  void RecordServed(base::TimePoint now);
  void RecordRejected(base::TimePoint now);

  /// Returns the time after which the caller of job `job_id` should retry.
  base::Duration Advise(base::TimePoint now, const std::string& job_id);

 private:
  void Decay(base::TimePoint now);

  /// Exponentially decaying counts.
  double served = 0;
  double rejected = 0;
  base::TimePoint decayed_at;
};

}  // namespace hawthornwheel::jobs
