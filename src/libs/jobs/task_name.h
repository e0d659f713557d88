#pragma once

#include <cstddef>
#include <string>

namespace hawthornwheel::jobs {

/// Returns the name under which endpoints run a task: JOB.0.0.INDEX, since jobs
/// have one occurrence and one step.
std::string TaskName(const std::string& job, std::size_t index);

/// Returns the id of the job that the task `task` belongs to.
std::string JobOfTask(const std::string& task);

}  // namespace hawthornwheel::jobs
