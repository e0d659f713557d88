#pragma once

#include "dispatch/endpoint_selector.h"
#include "dispatch/fastest_selector.h"

namespace hawthornwheel::dispatch {

/// Selects the fastest endpoint with a free slot, unless the task is expected
/// to end earlier by waiting for a slot at a faster one.
class EarliestSelector final : public EndpointSelector {
 public:
  EndpointState* Select(const SelectionRequest& request) override;

 private:
  FastestSelector fastest;
};

}  // namespace hawthornwheel::dispatch
