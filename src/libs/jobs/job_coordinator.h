#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/timer.h"
#include "cluster/reported_jobs.h"
#include "jobs/capacity_value.h"
#include "jobs/endpoint_choice.h"
#include "jobs/job.h"
#include "jobs/job_gateway.h"
#include "jobs/job_settings.h"
#include "jobs/placement_wait.h"
#include "jobs/retry_advisor.h"
#include "jobs/run_time_model.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::catalog {
class CatalogController;
}

namespace hawthornwheel::jobs {

/// Accepts jobs from callers, places their tasks, and answers when the last
/// task has ended. Rejects a job whose first task finds no free endpoint in
/// time, before any of its tasks has run. Such a job ends as interrupted when a
/// start of it has not been answered, since that may still be carried out.
class JobCoordinator final : public JobGateway {
 public:
  /// References must outlive the coordinator.
  JobCoordinator(base::Clock& clock, base::Metrics& metrics,
                 catalog::CatalogController& catalog, Placer& placer,
                 const JobSettings& settings);
  ~JobCoordinator() override;

  std::uint64_t Submit(JobRequest request, JobResponder respond) override;
  void Abandon(const std::string& id, std::uint64_t caller) override;
  bool Cancel(const std::string& id) override;

  /// Accepts a job whose route another process found in version `version` of
  /// the configuration. No task is started while `is_waiting` returns false,
  /// which tells whether that process is known to wait still. Runs end in time
  /// for a copy of the job that is submitted after `earliest_answer`, the time
  /// before which that process has not answered if it is not heard from again.
  /// Returns a number that identifies the waiting caller.
  std::uint64_t Accept(
      JobRequest request, const catalog::Route& route, std::uint64_t version,
      JobResponder respond, std::function<bool()> is_waiting,
      std::function<base::TimePoint()> earliest_answer = nullptr);

  /// Removes a caller that left, or was answered, at `ended_at`.
  void Abandon(const std::string& id, std::uint64_t caller,
               base::TimePoint ended_at);

  /// Rejects all new jobs from now on; jobs in flight continue.
  void RejectNewJobs() { this->rejecting = true; }
  bool RejectsNewJobs() const { return this->rejecting; }

  /// Ends jobs that arrive from now on at `time` at the latest, since the
  /// process stops then. A job that cannot meet it is rejected at once.
  void EndNewJobsBy(base::TimePoint time) { this->new_jobs_end = time; }
  /// Returns how long a job that arrives now may take: TimeLimitOf(), or less
  /// when the process stops before.
  base::Duration TimeLimitFor(const JobRequest& request,
                              const catalog::Route& route) const;

  /// Answers all jobs in flight and stops their tasks. Jobs that may have run
  /// are answered as interrupted, the others as rejected.
  void InterruptAll();

  bool Contains(const std::string& id) const override {
    return this->jobs.contains(id);
  }
  std::int64_t PendingJobCount(const std::string& host,
                               const std::string& path) const override;

  /// Places waiting tasks at free endpoints, in order of urgency.
  void PlaceWaitingTasks();

  /// Places waiting tasks in a later iteration of the event loop. Called when
  /// more capacity may be free.
  void SchedulePlacement();

  /// Returns what was learned about the run times of each route.
  const RunTimeModel& RunTimes() const { return this->run_times; }
  /// Returns the value of the capacity that is known at present, by kind.
  std::vector<CapacityValue::Kind> CapacityByKind() const;

  /// Returns the jobs that a copy at another process has to wait for: ended
  /// jobs whose runs are being stopped, open jobs whose callers may soon submit
  /// them again, and jobs with runs of other processes at endpoints of this
  /// process.
  cluster::ReportedJobs JobsInProgress() const;

  /// Returns the number of jobs in flight.
  std::size_t OpenJobs() const { return this->jobs.size(); }

 private:
  using JobPointer = std::shared_ptr<Job>;

  /// Holds the outcome of a job that ended, for copies of the job.
  struct RecentAnswer {
    JobEnd end = JobEnd::kComplete;
    base::TimePoint ended_at;
  };

  /// Result of the placement of a job's waiting tasks.
  enum class Placement {
    /// No task waits for an endpoint.
    kComplete,
    /// No endpoint has enough free capacity for a task.
    kNoEndpoint,
    /// Tasks wait for a better endpoint than those that are free.
    kWaits,
    /// Endpoints have refused a task, for example since a copy of it is open
    /// there.
    kRefused,
  };

  /// Describes the runs that jobs with one id had when they ended.
  struct EndingRuns {
    /// Number of runs whose end is not reported yet, by the task's index.
    std::map<std::size_t, int> open;
    /// Highest run number of the tasks.
    std::uint64_t last_run = 0;
  };

  bool JoinOrReject(const std::string& id, Job::Caller& caller);
  void Begin(JobRequest request, const catalog::Route& route,
             std::uint64_t version, Job::Caller caller);
  bool WaitForRunsOfOthers(Job& job, const cluster::JobRuns& others);
  Placement PlaceTasks(Job& job, std::vector<Candidate>& candidates);
  PlacementWait::Decision ChooseFor(const Job& job, Job::Task& task,
                                    const std::set<std::string>& refused,
                                    std::vector<Candidate>& candidates,
                                    TaskRequirements requirements);
  void RetryPlacement();
  bool PlaceTask(Job& job, std::size_t index, Candidate& candidate,
                 const TaskRequirements& requirements);
  runs::RunHandlers HandlersFor(Job& job, std::size_t index,
                                const std::string& endpoint);
  void OnRunEnd(Job& job, std::size_t index, std::uint64_t run,
                runs::RunOutcome outcome, const std::string& endpoint);
  void OnOverdue(Job& job, std::size_t index, std::uint64_t run,
                 base::Duration expected);
  std::vector<Candidate> ValuedCandidates() const;
  TaskSizes SizesInFlight() const;
  TaskRequirements RequirementsOf(const Job& job) const;
  void RecordRunTime(const Job& job, Job::Task& task, base::Duration run_time);
  void ArmTimer(Job& job);
  void OnTimer(const std::string& id);
  void Finish(const std::string& id, JobEnd end, const char* cause);
  void Finish(const std::string& id, JobEnd end, const char* cause,
              base::TimePoint ended_at);
  void StopRuns(const Job& job, base::TimePoint ended_at);
  void OnEndingRunEnd(const std::string& id, std::size_t index);
  bool HasEndingRun(const Job& job, std::size_t index) const;
  void LogEnd(const Job& job, JobEnd end, const char* cause,
              base::Duration retry_after) const;
  int TasksAheadOf(const Job& job) const;
  void DropExpiredAnswers();

  base::Clock& clock;
  base::Metrics& metrics;
  catalog::CatalogController& catalog;
  Placer& placer;
  const JobSettings& settings;
  RetryAdvisor advisor;
  RunTimeModel run_times;
  PlacementWait wait;
  std::map<std::string, JobPointer> jobs;
  /// Answers of jobs that were completed or failed in the last seconds, for
  /// callers that submit a job again.
  std::map<std::string, RecentAnswer> recent_answers;
  /// Runs of ended jobs, by job id. A task of a copy of the job starts when
  /// its earlier runs have ended.
  std::map<std::string, EndingRuns> ending_runs;
  std::uint64_t next_caller = 1;
  bool rejecting = false;
  /// Time by which jobs that arrive from now on must end; empty for none.
  std::optional<base::TimePoint> new_jobs_end;
  base::Timer placement_timer;
  /// Repeats the placement while the caller of a job is not known to wait.
  base::Timer retry_timer;
  /// Repeats the placement when a task has waited for a better endpoint for
  /// long enough.
  base::Timer wait_timer;
  base::Timer expiry_timer;
};

}  // namespace hawthornwheel::jobs
