#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/timer.h"
#include "jobs/endpoint_choice.h"
#include "jobs/job.h"
#include "jobs/job_gateway.h"
#include "jobs/job_settings.h"
#include "jobs/retry_advisor.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::catalog {
class CatalogController;
}

namespace hawthornwheel::jobs {

/// Takes jobs from callers, places their tasks, and answers when the last one
/// has ended. A job whose first task finds no room in time is refused before
/// anything ran.
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

  /// Takes a job whose route was found by another process, in version
  /// `version` of the configuration.
  std::uint64_t Accept(JobRequest request, const catalog::Route& route,
                       std::uint64_t version, JobResponder respond);

  /// Refuses all new jobs from now on; those in the works go on.
  void RefuseNew() { this->refusing = true; }
  bool RefusesNew() const { return this->refusing; }

  /// Answers all jobs in the works as interrupted and stops their tasks.
  void InterruptAll();

  bool Contains(const std::string& id) const override {
    return this->jobs.contains(id);
  }
  std::int64_t PendingOn(const std::string& host,
                         const std::string& path) const override;

  /// Places waiting tasks.
  void PlaceWaitingTasks();

  /// Places waiting tasks in a later turn of the loop; to be called when there
  /// may be more room.
  void SchedulePlacement();

  std::size_t OpenJobs() const { return this->jobs.size(); }

 private:
  using JobPointer = std::shared_ptr<Job>;

  struct RecentAnswer {
    JobEnd end = JobEnd::kComplete;
    base::TimePoint ended_at;
  };

  bool JoinOrRefuse(const std::string& id, std::uint64_t caller,
                    JobResponder& respond);
  void Begin(JobRequest request, const catalog::Route& route,
             std::uint64_t version, std::uint64_t caller, JobResponder respond);
  void SetTimes(Job& job) const;
  bool PlaceTasks(Job& job, std::vector<Candidate>& candidates);
  bool PlaceTask(Job& job, std::size_t index, Candidate& candidate,
                 const TaskRequirements& requirements);
  runs::RunHandlers HandlersFor(Job& job, std::size_t index,
                                const std::string& endpoint);
  void OnRunEnd(Job& job, std::size_t index, std::uint64_t run,
                runs::RunOutcome outcome, const std::string& endpoint);
  void OnOverdue(Job& job, std::size_t index, std::uint64_t run,
                 base::Duration expected);
  TaskRequirements RequirementsOf(const Job& job) const;
  void ArmTimer(Job& job);
  void OnTimer(const std::string& id);
  void Finish(const std::string& id, JobEnd end, const char* cause);
  void DropExpiredAnswers();

  base::Clock& clock;
  base::Metrics& metrics;
  catalog::CatalogController& catalog;
  Placer& placer;
  const JobSettings& settings;
  RetryAdvisor advisor;
  std::map<std::string, JobPointer> jobs;
  /// Answers of the last seconds, for callers that send a job again.
  std::map<std::string, RecentAnswer> recent_answers;
  std::uint64_t next_caller = 1;
  bool refusing = false;
  base::Timer placement_timer;
  base::Timer expiry_timer;
};

}  // namespace hawthornwheel::jobs
