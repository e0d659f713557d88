#pragma once

#include <cstdint>

#include "base/clock.h"

namespace hawthornwheel::runs {

/// Holds what a session knew when it sent an order. The answer is judged by it,
/// since the endpoint may have restarted before or after it answered.
struct SentOrder {
  /// Fencing token of the session.
  std::uint64_t fence = 0;
  /// Start of the endpoint's incarnation in Unix milliseconds; 0 if unknown.
  std::int64_t incarnation_start_ms = 0;
  /// Number of the latest start order, this one included.
  std::uint64_t start_number = 0;
  /// Local time at which the order was sent.
  base::TimePoint time;
  /// Latest reading of the endpoint's clock in milliseconds; 0 if none.
  std::int64_t clock_ms = 0;
};

}  // namespace hawthornwheel::runs
