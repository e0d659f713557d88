#include "jobs/task_name.h"

#include <fmt/format.h>

namespace hawthornwheel::jobs {

std::string TaskName(const std::string& job, std::size_t index) {
  return fmt::format("{}.0.0.{}", job, index);
}

std::string JobOfTask(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace hawthornwheel::jobs
