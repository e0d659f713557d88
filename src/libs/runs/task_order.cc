#include "runs/task_order.h"

namespace hawthornwheel::runs {

const char* NameOf(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kNotRun:
      return "not_run";
    case RunOutcome::kStaleRun:
      return "stale_run";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLost:
      return "lost";
    case RunOutcome::kUnconfirmed:
      return "unconfirmed";
  }
  return "unknown";
}

}  // namespace hawthornwheel::runs
