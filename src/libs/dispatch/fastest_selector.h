#pragma once

#include "dispatch/endpoint_selector.h"

namespace hawthornwheel::dispatch {

/// Selects the endpoint with the lowest learned slowness, and among equals the
/// one with the most free slots.
class FastestSelector final : public EndpointSelector {
 public:
  EndpointState* Select(const SelectionRequest& request) override;
};

}  // namespace hawthornwheel::dispatch
