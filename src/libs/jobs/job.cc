#include "jobs/job.h"

#include <algorithm>
#include <chrono>

namespace hawthornwheel::jobs {
namespace {

// Share of its latency objective for which a job waits for a free endpoint
// before it is rejected. The caller can then still submit it elsewhere; after a
// longer wait, the job would miss the objective anyway.
constexpr double kMaxWaitShare = 0.22;
// Declared run times are rough. The wait is a share of the objective that
// follows from a low estimate, one standard deviation below the declared one:
// the caller of a job that is shorter than declared must not wait longer than
// its objective allows.
constexpr double kLowEstimateFactor = 0.64;
// Time before the latest start at which a job stops waiting for a better
// endpoint: timers may fire late by some milliseconds.
constexpr base::Duration kStartMargin = std::chrono::milliseconds(5);

base::Duration Scale(base::Duration span, double factor) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(span.count()) * factor));
}

}  // namespace

void Job::SetTimes(base::TimePoint now, base::Duration time_limit) {
  this->arrival = now;
  const base::Duration objective =
      Scale(this->request.estimate, this->route.objective_stretch) +
      this->route.objective_slack;
  this->objective_end = now + objective;
  const base::Duration low_objective =
      Scale(this->request.estimate,
            this->route.objective_stretch * kLowEstimateFactor) +
      this->route.objective_slack;
  this->latest_start = now + Scale(low_objective, kMaxWaitShare);
  this->deadline = now + time_limit;
}

bool Job::IsPlacedBefore(const Job& other) const {
  if (this->MayHaveRun() != other.MayHaveRun()) return this->MayHaveRun();
  if (this->route.priority != other.route.priority) {
    return this->route.priority < other.route.priority;
  }
  return this->latest_start < other.latest_start;
}

base::TimePoint Job::LatestPlacement() const {
  if (this->MayHaveRun()) return this->deadline;
  return std::min(this->latest_start, this->deadline) - kStartMargin;
}

bool Job::IsAwaited() const {
  return std::any_of(this->callers.begin(), this->callers.end(),
                     [](const Caller& caller) {
                       return !caller.is_waiting || caller.is_waiting();
                     });
}

std::uint64_t Job::LastRun() const {
  std::uint64_t last_run = 0;
  for (const Task& task : this->tasks) last_run = std::max(last_run, task.run);
  return last_run;
}

double Job::SlowestPace() const {
  double slowest = 0;
  for (const Task& task : this->tasks) {
    if (task.state == TaskState::kPlaced)
      slowest = std::max(slowest, task.pace);
  }
  return slowest;
}

base::Duration Job::LongestSeenRunTime() const {
  base::Duration longest{0};
  for (const Task& task : this->tasks)
    longest = std::max(longest, task.seen_run_time);
  return longest;
}

}  // namespace hawthornwheel::jobs
