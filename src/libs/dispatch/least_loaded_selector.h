#pragma once

#include "dispatch/endpoint_selector.h"

namespace hawthornwheel::dispatch {

/// Selects the endpoint with the most free slots, whatever its speed. It is the
/// simplest selector and serves as a baseline for the others.
class LeastLoadedSelector final : public EndpointSelector {
 public:
  EndpointState* Select(const SelectionRequest& request) override;
};

}  // namespace hawthornwheel::dispatch
