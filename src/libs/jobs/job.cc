#include "jobs/job.h"

#include <algorithm>

namespace hawthornwheel::jobs {

double Job::SlowestPace() const {
  double slowest = 0;
  for (const Task& task : this->tasks) {
    if (task.state == TaskState::kPlaced)
      slowest = std::max(slowest, task.pace);
  }
  return slowest;
}

}  // namespace hawthornwheel::jobs
