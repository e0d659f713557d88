#pragma once

#include <vector>

#include "workload.h"

namespace hawthornwheel::bench {

/// Response time of each arrival under a scheduler that knows true run times
/// and speeds, keeps one queue, has no network, and gives each task the slot
/// that ends it earliest.
std::vector<base::Duration> ClairvoyantResponses(
    const std::vector<Arrival>& arrivals,
    const std::vector<BenchEndpoint>& endpoints);

}  // namespace hawthornwheel::bench
