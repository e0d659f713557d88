#include "rig/job_book.h"

namespace review {

void JobBook::Add(const JobPlan& plan) {
  const std::lock_guard lock(this->mutex);
  this->plans[plan.id] = plan;
}

JobPlan JobBook::PlanOf(const std::string& task) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->plans.find(task.substr(0, task.find('.')));
  return found == this->plans.end() ? JobPlan{} : found->second;
}

}  // namespace review
