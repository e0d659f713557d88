#pragma once

#include "base/clock.h"

namespace hawthornwheel::dispatch {

struct EndpointState;
struct ServiceLoad;

/// Returns whether a task of the service may end within `left` if it starts at
/// `endpoint` now. `declared` is its declared run time, or 0. Returns true as
/// long as no run time of the service is known.
bool CanEndInTime(const ServiceLoad& load, base::Duration declared,
                  const EndpointState& endpoint, base::Duration left);

}  // namespace hawthornwheel::dispatch
