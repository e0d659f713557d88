#include "jobs/job.h"

#include <algorithm>

namespace hawthornwheel::jobs {

bool Job::IsAwaited() const {
  return std::any_of(this->callers.begin(), this->callers.end(),
                     [](const Caller& caller) {
                       return !caller.is_waiting || caller.is_waiting();
                     });
}

double Job::SlowestPace() const {
  double slowest = 0;
  for (const Task& task : this->tasks) {
    if (task.state == TaskState::kPlaced)
      slowest = std::max(slowest, task.pace);
  }
  return slowest;
}

}  // namespace hawthornwheel::jobs
