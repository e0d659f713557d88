#include "jobs/answer_value.h"

#include <algorithm>

#include "jobs/endpoint_choice.h"
#include "jobs/log_normal.h"

namespace hawthornwheel::jobs {
namespace {

// Standard deviation of the logarithm of the learned pace.
constexpr double kPaceLogStdDev = 0.15;

double RunTimes(base::Duration span, base::Duration run_time, double pace) {
  return static_cast<double>(span.count()) /
         std::max(static_cast<double>(run_time.count()) * pace, 1.0);
}

}  // namespace

double DeadlineProbability(double pace, const TaskRequirements& requirements) {
  return ProbabilityBelow(
      RunTimes(requirements.deadline, requirements.estimate, pace),
      requirements.estimate_log_std_dev);
}

double ExpectedValue(double pace, const TaskRequirements& requirements,
                     base::Duration wait) {
  const double deadline_probability = ProbabilityBelow(
      RunTimes(requirements.deadline - wait, requirements.estimate, pace),
      requirements.estimate_log_std_dev);
  const double objective_pace =
      requirements.objective_pace - RunTimes(wait, requirements.estimate, 1);
  const double objective_probability =
      ProbabilityBelow(objective_pace / pace, kPaceLogStdDev);
  return deadline_probability *
         (kLateAnswerValue + (1 - kLateAnswerValue) * objective_probability);
}

}  // namespace hawthornwheel::jobs
