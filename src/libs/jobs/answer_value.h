#pragma once

#include "base/clock.h"

namespace hawthornwheel::jobs {

struct TaskRequirements;

/// Value of an answer that meets the deadline but misses the objective; one
/// that meets both has the value 1.
inline constexpr double kLateAnswerValue = 0.2;

/// Returns the probability that a task that starts now at an endpoint of pace
/// `pace` ends by the deadline.
double DeadlineProbability(double pace, const TaskRequirements& requirements);

/// Returns the expected value of the answer of a task that starts at an
/// endpoint of pace `pace` after `wait`.
double ExpectedValue(double pace, const TaskRequirements& requirements,
                     base::Duration wait = base::Duration{0});

}  // namespace hawthornwheel::jobs
