#include "dispatch/dispatch_board.h"

namespace hawthornwheel::dispatch {

std::uint32_t UsableSlots(const EndpointState& endpoint, base::TimePoint now) {
  if (!endpoint.owned) {
    return now < endpoint.borrowed_until ? endpoint.borrowed : 0;
  }
  const std::uint32_t taken = endpoint.lent + endpoint.held_by_others;
  return endpoint.slots > taken ? endpoint.slots - taken : 0;
}

std::uint32_t FreeSlots(const EndpointState& endpoint, base::TimePoint now) {
  if (endpoint.leaving) return 0;
  std::uint32_t usable = UsableSlots(endpoint, now);
  switch (endpoint.health) {
    case EndpointHealth::kHealthy:
      break;
    case EndpointHealth::kQuarantined:
      return 0;
    case EndpointHealth::kProbing:
      usable = usable > 0 ? 1 : 0;
      break;
  }
  return usable > endpoint.running ? usable - endpoint.running : 0;
}

}  // namespace hawthornwheel::dispatch
