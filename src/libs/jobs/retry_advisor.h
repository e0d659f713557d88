#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::jobs {

/// Tells refused callers when to come back: after the time that the demand of
/// the last seconds needs at the rate at which jobs were served, spread so
/// that they do not return together.
class RetryAdvisor {
 public:
  void RecordServed(base::TimePoint now);
  void RecordRefused(base::TimePoint now);

  /// Time after which a caller should come back.
  base::Duration Advise(base::TimePoint now, const std::string& job_id);

 private:
  void Decay(base::TimePoint now);

  double served = 0;
  double refused = 0;
  base::TimePoint decayed_at;
};

}  // namespace hawthornwheel::jobs
