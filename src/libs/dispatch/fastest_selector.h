#pragma once

#include "dispatch/endpoint_selector.h"

namespace hawthornwheel::dispatch {

/// Chooses the endpoint with the lowest learned run time, and among equals the
/// one with most free slots.
class FastestSelector final : public EndpointSelector {
 public:
  EndpointState* Select(const SelectionRequest& request) override;
};

}  // namespace hawthornwheel::dispatch
