#include "dispatch/fastest_selector.h"

#include "dispatch/dispatch_board.h"

namespace hawthornwheel::dispatch {

EndpointState* FastestSelector::Select(const SelectionRequest& request) {
  EndpointState* best = nullptr;
  std::uint32_t best_free = 0;
  for (EndpointState* endpoint : request.pool) {
    const std::uint32_t free = FreeSlots(*endpoint, request.now);
    if (free == 0) continue;
    const bool better =
        best == nullptr || endpoint->slowness < best->slowness ||
        (endpoint->slowness == best->slowness && free > best_free);
    if (!better) continue;
    best = endpoint;
    best_free = free;
  }
  return best;
}

}  // namespace hawthornwheel::dispatch
