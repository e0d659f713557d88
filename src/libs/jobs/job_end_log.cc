#include "jobs/job_end_log.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "base/logger.h"

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("job");

// Returns the time from the arrival of a job to `event` in milliseconds, or -1
// if it has not happened.
std::int64_t AgeAt(const Job& job,
                   const std::optional<base::TimePoint>& event) {
  return event ? (*event - job.arrival) / milliseconds(1) : -1;
}

std::string SizeOf(const Job& job) {
  return fmt::format(
      "tasks={} estimate_ms={} needed_ms={} cpu_milli={} time_limit_ms={} "
      "caller_wait_ms={} wait_limit_ms={} "
      "first_placed_ms={} last_placed_ms={} refused={} unconfirmed={}",
      job.request.task_count, job.request.estimate / milliseconds(1),
      job.LongestSeenRunTime() / milliseconds(1),
      job.request.resources.cpu_milli, AgeAt(job, job.deadline),
      job.request.caller_timeout / milliseconds(1),
      AgeAt(job, job.latest_start), AgeAt(job, job.first_placed),
      AgeAt(job, job.last_placed), job.refused_placements,
      job.has_unconfirmed_run);
}

// Returns the runs in progress as INDEX/RUN@ENDPOINT, separated by commas.
std::string RunsInProgress(const Job& job) {
  std::string runs;
  for (std::size_t index = 0; index < job.tasks.size(); ++index) {
    const Job::Task& task = job.tasks[index];
    if (task.state != Job::TaskState::kPlaced) continue;
    if (!runs.empty()) runs += ",";
    runs += fmt::format("{}/{}@{}", index, task.run, task.placed_run.endpoint);
  }
  return runs;
}

}  // namespace

void LogComplete(const Job& job, base::TimePoint now) {
  kLog.Info("Job ended. job={} route={} end={} age_ms={} late={} {}",
            job.request.id, job.route.name, NameOf(JobEnd::kComplete),
            AgeAt(job, now), now > job.objective_end, SizeOf(job));
}

void LogEarlyEnd(const Job& job, JobEnd end, base::TimePoint now,
                 const EarlyEnd& state) {
  kLog.Info(
      "Job ended. job={} route={} version={} end={} cause=\"{}\" age_ms={} "
      "stopped_runs={} {} "
      "expected_ms={} done={} waiting={} slowest_pace={:.2f} room={} "
      "room_in_time={} "
      "ahead={} left_ms={} retry_after_ms={}",
      job.request.id, job.route.name, job.config_version, NameOf(end),
      state.cause, AgeAt(job, now), RunsInProgress(job), SizeOf(job),
      state.expected / milliseconds(1), job.done_tasks, job.waiting_tasks,
      job.SlowestPace(), state.room.tasks, state.room.tasks_in_time,
      state.tasks_ahead, (job.deadline - now) / milliseconds(1),
      state.retry_after / milliseconds(1));
}

}  // namespace hawthornwheel::jobs
