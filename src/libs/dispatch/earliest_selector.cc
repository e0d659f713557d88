#include "dispatch/earliest_selector.h"

#include "dispatch/dispatch_board.h"

namespace hawthornwheel::dispatch {
namespace {

// Endpoints whose learned speeds differ by less count as equal.
constexpr double kSlownessMargin = 1.1;

/// Slots of the endpoints that are faster than some endpoint.
struct FasterSlots {
  /// Sum over slots of 1 / slowness.
  double rate = 0;
  double slots = 0;
};

FasterSlots SumFaster(const SelectionRequest& request, double slowness) {
  FasterSlots sum;
  for (const EndpointState* endpoint : request.pool) {
    const bool faster = endpoint->slowness * kSlownessMargin < slowness;
    const bool available =
        endpoint->health == EndpointHealth::kHealthy && !endpoint->leaving;
    if (!faster || !available) continue;
    const double slots = UsableSlots(*endpoint, request.now);
    sum.slots += slots;
    sum.rate += slots / endpoint->slowness;
  }
  return sum;
}

}  // namespace

EndpointState* EarliestSelector::Select(const SelectionRequest& request) {
  EndpointState* best = this->fastest.Select(request);
  if (best == nullptr || request.mean_run_time.count() == 0) return best;
  const FasterSlots faster = SumFaster(request, best->slowness);
  if (faster.rate <= 0) return best;
  const auto mean = static_cast<double>(request.mean_run_time.count());
  const auto expected = static_cast<double>(request.expected_run_time.count());
  // Slots there fall free at `rate / mean`, for the queue in its order.
  const double wait = request.queued_tasks * mean / faster.rate;
  const double run_time_there = expected * faster.slots / faster.rate;
  const double run_time_here = expected * best->slowness;
  return wait + run_time_there < run_time_here ? nullptr : best;
}

}  // namespace hawthornwheel::dispatch
