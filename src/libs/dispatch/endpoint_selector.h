#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "dispatch/endpoint_state.h"

namespace hawthornwheel::dispatch {

/// Holds the input of the selection of an endpoint for one task.
struct SelectionRequest {
  const std::vector<EndpointState*>& pool;
  base::TimePoint now;
  /// Expected run time of the task at an endpoint of mean speed.
  base::Duration expected_run_time{0};
  /// Mean run time of the service's tasks at an endpoint of mean speed, or 0
  /// while it is unknown.
  base::Duration mean_run_time{0};
  /// Queued tasks of the service, including this one.
  std::uint32_t queued_tasks = 0;
};

/// Selects the endpoint for one task.
class EndpointSelector {
 public:
  virtual ~EndpointSelector() = default;

  /// Returns an endpoint of the pool with a free slot, or null when there is
  /// none or when the task is expected to end earlier by waiting for a faster
  /// one.
  virtual EndpointState* Select(const SelectionRequest& request) = 0;
};

}  // namespace hawthornwheel::dispatch
