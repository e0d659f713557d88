#include "runs/endpoint_orders.h"

#include <array>

namespace hawthornwheel::runs {

const char* NameOf(OrderOutcome outcome) {
  constexpr std::array kNames = {"accepted",       "fenced",     "stale_run",
                                 "expired",        "no_room",    "invalid",
                                 "wrong_instance", "overloaded", "unanswered"};
  return kNames[static_cast<std::size_t>(outcome)];
}

}  // namespace hawthornwheel::runs
