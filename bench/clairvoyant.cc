#include "clairvoyant.h"

#include <algorithm>
#include <functional>

namespace hawthornwheel::bench {
namespace {

struct Slot {
  double free_at = 0;
  double slowness = 1;
};

std::vector<Slot> MakeSlots(const std::vector<BenchEndpoint>& endpoints) {
  std::vector<Slot> slots;
  for (const BenchEndpoint& endpoint : endpoints) {
    for (std::uint32_t i = 0; i < endpoint.slots; ++i) {
      slots.push_back({0, endpoint.slowness});
    }
  }
  return slots;
}

double PlaceTask(std::vector<Slot>& slots, double now, double run_time) {
  Slot* best = nullptr;
  double best_end = 0;
  for (Slot& slot : slots) {
    const double end = std::max(now, slot.free_at) + run_time * slot.slowness;
    if (best != nullptr && end >= best_end) continue;
    best = &slot;
    best_end = end;
  }
  best->free_at = best_end;
  return best_end;
}

}  // namespace

std::vector<base::Duration> ClairvoyantResponses(
    const std::vector<Arrival>& arrivals,
    const std::vector<BenchEndpoint>& endpoints) {
  std::vector<Slot> slots = MakeSlots(endpoints);
  std::vector<base::Duration> responses;
  for (const Arrival& arrival : arrivals) {
    const auto now = static_cast<double>(arrival.at.count());
    std::vector<base::Duration> run_times = arrival.run_times;
    std::sort(run_times.begin(), run_times.end(), std::greater<>());
    double end = now;
    for (const base::Duration run_time : run_times) {
      end = std::max(
          end, PlaceTask(slots, now, static_cast<double>(run_time.count())));
    }
    responses.emplace_back(static_cast<base::Duration::rep>(end - now));
  }
  return responses;
}

}  // namespace hawthornwheel::bench
