#include "dispatch/least_loaded_selector.h"

#include "dispatch/dispatch_board.h"

namespace hawthornwheel::dispatch {

EndpointState* LeastLoadedSelector::Select(const SelectionRequest& request) {
  EndpointState* best = nullptr;
  std::uint32_t best_free = 0;
  for (EndpointState* endpoint : request.pool) {
    const std::uint32_t free = FreeSlots(*endpoint, request.now);
    if (free <= best_free) continue;
    best = endpoint;
    best_free = free;
  }
  return best;
}

}  // namespace hawthornwheel::dispatch
