#include "dispatch/earliest_selector.h"

#include "dispatch/dispatch_board.h"

namespace hawthornwheel::dispatch {
namespace {

// Endpoints whose slowness differs by less than this factor count as equally
// fast.
constexpr double kSlownessMargin = 1.1;

/// Holds sums over the slots of all endpoints faster than a given one.
struct FasterSlots {
  /// Sum of 1 / slowness over these slots.
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
  // The faster slots become free at the rate `rate / mean` and take the queued
  // tasks in their order.
  const double wait = request.queued_tasks * mean / faster.rate;
  const double run_time_there = expected * faster.slots / faster.rate;
  const double run_time_here = expected * best->slowness;
  return wait + run_time_there < run_time_here ? nullptr : best;
}

}  // namespace hawthornwheel::dispatch
