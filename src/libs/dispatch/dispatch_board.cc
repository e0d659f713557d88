#include "dispatch/dispatch_board.h"

namespace hawthornwheel::dispatch {

namespace {

ClassLoad& ClassOf(ServiceLoad& load, fleet::Urgency urgency) {
  return load.classes[static_cast<std::size_t>(urgency)];
}

}  // namespace

void AddQueuedTasks(ServiceLoad& load, fleet::Urgency urgency,
                    std::uint32_t tasks, base::TimePoint now) {
  ClassLoad& class_load = ClassOf(load, urgency);
  class_load.throughput.OnArrival(now, class_load.queued_tasks);
  class_load.queued_tasks += tasks;
  load.queued_tasks += tasks;
}

void RemoveQueuedTasks(ServiceLoad& load, fleet::Urgency urgency,
                       std::uint32_t tasks) {
  ClassOf(load, urgency).queued_tasks -= tasks;
  load.queued_tasks -= tasks;
}

void CountStarted(ServiceLoad& load, fleet::Urgency urgency,
                  base::TimePoint now) {
  RemoveQueuedTasks(load, urgency, 1);
  ClassLoad& class_load = ClassOf(load, urgency);
  class_load.throughput.OnStart(now, class_load.queued_tasks);
}

std::uint32_t UsableSlots(const EndpointState& endpoint, base::TimePoint now) {
  if (!endpoint.owned) {
    return now < endpoint.borrowed_until ? endpoint.borrowed : 0;
  }
  if (now < endpoint.owned_from || now >= endpoint.owned_until) return 0;
  const std::uint32_t taken = endpoint.lent + endpoint.held_by_others;
  return endpoint.slots > taken ? endpoint.slots - taken : 0;
}

std::uint32_t FreeSlots(const EndpointState& endpoint, base::TimePoint now) {
  if (endpoint.leaving || now < endpoint.refused_until) return 0;
  std::uint32_t usable = UsableSlots(endpoint, now);
  switch (endpoint.health) {
    case EndpointHealth::kHealthy:
      break;
    case EndpointHealth::kQuarantined:
      return 0;
    case EndpointHealth::kProbing:
      usable = usable > 0 ? 1 : 0;
      break;
  }
  return usable > endpoint.running ? usable - endpoint.running : 0;
}

}  // namespace hawthornwheel::dispatch
