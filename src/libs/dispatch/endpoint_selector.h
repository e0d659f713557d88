#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "dispatch/endpoint_state.h"

namespace hawthornwheel::dispatch {

/// What the choice of an endpoint for one task depends on.
struct SelectionRequest {
  const std::vector<EndpointState*>& pool;
  base::TimePoint now;
  /// Expected run time of the task at an endpoint of mean speed.
  base::Duration expected_run_time{0};
  /// Mean run time of the service's tasks there.
  base::Duration mean_run_time{0};
  /// Tasks of the service that wait, this one included.
  std::uint32_t queued_tasks = 0;
};

/// Chooses the endpoint for one task.
class EndpointSelector {
 public:
  virtual ~EndpointSelector() = default;

  /// An endpoint of the pool with a free slot; null when there is none, or when
  /// the task ends earlier by waiting for a faster one.
  virtual EndpointState* Select(const SelectionRequest& request) = 0;
};

}  // namespace hawthornwheel::dispatch
