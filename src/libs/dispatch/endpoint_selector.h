#pragma once

#include <vector>

#include "base/clock.h"
#include "dispatch/endpoint_state.h"

namespace hawthornwheel::dispatch {

/// Chooses the endpoint for one attempt.
class EndpointSelector {
 public:
  virtual ~EndpointSelector() = default;

  /// An endpoint of `pool` with a free slot at `now`, or null.
  virtual EndpointState* Select(const std::vector<EndpointState*>& pool,
                                base::TimePoint now) = 0;
};

}  // namespace hawthornwheel::dispatch
