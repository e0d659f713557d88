#pragma once

#include <vector>

#include "workload.h"

namespace hawthornwheel::bench {

/// Returns the response time of each arrival under an ideal scheduler. It knows
/// the true run times and speeds, keeps one queue, has no network latency, and
/// places each task in the slot that completes it earliest.
std::vector<base::Duration> ClairvoyantResponses(
    const std::vector<Arrival>& arrivals,
    const std::vector<BenchEndpoint>& endpoints);

}  // namespace hawthornwheel::bench
