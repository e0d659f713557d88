#pragma once

#include "dispatch/endpoint_selector.h"

namespace hawthornwheel::dispatch {

/// Chooses the endpoint with most free slots, whatever its speed. It is the
/// simplest form, kept as a baseline.
class LeastLoadedSelector final : public EndpointSelector {
 public:
  EndpointState* Select(const SelectionRequest& request) override;
};

}  // namespace hawthornwheel::dispatch
