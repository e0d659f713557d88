#include "dispatch/endpoint_client.h"

#include <array>

namespace hawthornwheel::dispatch {

std::string_view AttemptOutcomeName(AttemptOutcome outcome) {
  constexpr std::array<std::string_view, 6> kNames = {
      "completed",       "failed",   "refused",
      "refused_leaving", "not_sent", "unknown"};
  return kNames[static_cast<std::size_t>(outcome)];
}

}  // namespace hawthornwheel::dispatch
