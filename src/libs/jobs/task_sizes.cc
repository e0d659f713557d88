#include "jobs/task_sizes.h"

namespace hawthornwheel::jobs {

void TaskSizes::Add(const std::string& service,
                    const catalog::Resources& resources, int count) {
  Sum& sum = this->sums[service];
  sum.tasks += count;
  sum.resources += {resources.cpu_milli * count, resources.memory_mb * count,
                    resources.accelerators * count};
}

catalog::Resources TaskSizes::MeanOf(std::string_view service) const {
  const auto found = this->sums.find(service);
  if (found == this->sums.end() || found->second.tasks == 0) return {};
  const Sum& sum = found->second;
  return {sum.resources.cpu_milli / sum.tasks,
          sum.resources.memory_mb / sum.tasks,
          sum.resources.accelerators / sum.tasks};
}

}  // namespace hawthornwheel::jobs
