#include "runs/endpoint_orders.h"

#include <array>

#include "runs/task_order.h"

namespace hawthornwheel::runs {

const char* NameOf(OrderOutcome outcome) {
  constexpr std::array kNames = {
      "accepted", "fenced",         "stale_run",  "expired",  "no_room",
      "invalid",  "wrong_instance", "overloaded", "not_sent", "unanswered"};
  return kNames[static_cast<std::size_t>(outcome)];
}

bool IsNotCarriedOut(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kFenced:
    case OrderOutcome::kStaleRun:
    case OrderOutcome::kExpired:
    case OrderOutcome::kNoCapacity:
    case OrderOutcome::kInvalid:
    case OrderOutcome::kOverloaded:
    case OrderOutcome::kNotSent:
      return true;
    case OrderOutcome::kAccepted:
    case OrderOutcome::kWrongInstance:
    case OrderOutcome::kUnanswered:
      return false;
  }
  return false;
}

RunOutcome OutcomeOfRefusal(OrderOutcome outcome) {
  if (outcome == OrderOutcome::kStaleRun) return RunOutcome::kStaleRun;
  if (outcome == OrderOutcome::kInvalid) return RunOutcome::kFailed;
  return RunOutcome::kNotRun;
}

bool IsUnanswered(OrderOutcome outcome) {
  return outcome == OrderOutcome::kUnanswered ||
         outcome == OrderOutcome::kNotSent;
}

RunOutcome OutcomeOf(RunEndKind kind) {
  switch (kind) {
    case RunEndKind::kDone:
      return RunOutcome::kDone;
    case RunEndKind::kFailed:
      return RunOutcome::kFailed;
    case RunEndKind::kStopped:
      return RunOutcome::kStopped;
    case RunEndKind::kLeaseExpired:
    case RunEndKind::kGangMemberEnded:
    case RunEndKind::kGangNotAssembled:
      return RunOutcome::kLost;
  }
  return RunOutcome::kLost;
}

}  // namespace hawthornwheel::runs
