#include "jobs/job_coordinator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "base/logger.h"
#include "base/metrics.h"
#include "catalog/catalog_controller.h"
#include "jobs/job_end_log.h"
#include "jobs/overdue_policy.h"
#include "jobs/task_name.h"
#include "jobs/time_limit.h"
#include "runs/resend_time.h"

namespace hawthornwheel::jobs {
namespace {

using runs::RunOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Logger kLog("job");

// Time for which answers are kept, since copies of a job may arrive seconds
// after its answer.
constexpr base::Duration kAnswerRetention = seconds(10);
constexpr base::Duration kExpiryInterval = seconds(1);
// Age from which an open job is reported to other processes.
// Its caller may have lost the connection at once without this process knowing,
// and submits the job again after 1.3 s. Two reports fit into the rest.
constexpr base::Duration kCopyNotice = milliseconds(900);
// Retry time for jobs of routes that require a placement hint. These are not
// supported yet; an update may change that.
constexpr base::Duration kUnsupportedRetry = seconds(60);
// Increase of the run number after the outcome kStaleRun: more runs of one task
// than another process is likely to have started.
constexpr std::uint64_t kStaleRunSkip = 8;
// Retry time while this process is leaving; the load balancer sends callers to
// other processes at once.
constexpr base::Duration kLeavingRetry = seconds(1);
constexpr base::Duration kNotReadyRetry = seconds(1);
// Interval at which the placement of a job is tried again whose caller is not
// known to wait, or one of whose tasks all endpoints have refused.
constexpr base::Duration kPlacementRetry = milliseconds(50);

base::Duration Scale(base::Duration span, double factor) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(span.count()) * factor));
}

bool HasFreeCapacity(const std::vector<Candidate>& candidates) {
  return std::any_of(
      candidates.begin(), candidates.end(),
      [](const Candidate& candidate) { return candidate.free.cpu_milli > 0; });
}

// Returns whether a placement ended without a run that is known.
bool IsWithoutRun(RunOutcome outcome) {
  return outcome == RunOutcome::kNotRun || outcome == RunOutcome::kStaleRun ||
         outcome == RunOutcome::kUnconfirmed;
}

// Returns the time by which the runs of a job must have ended if no process
// that waits for its answer is heard from again; nothing if a caller waits
// here.
std::optional<base::TimePoint> LatestEndOf(const Job& job) {
  std::optional<base::TimePoint> latest;
  for (const Job::Caller& caller : job.callers) {
    if (!caller.earliest_answer) return {};
    const base::TimePoint end = caller.earliest_answer() + runs::kRunEndLimit;
    latest = latest ? std::max(*latest, end) : end;
  }
  return latest;
}

}  // namespace

JobCoordinator::JobCoordinator(base::Clock& clock, base::Metrics& metrics,
                               catalog::CatalogController& catalog,
                               Placer& placer, const JobSettings& settings)
    : clock(clock),
      metrics(metrics),
      catalog(catalog),
      placer(placer),
      settings(settings),
      wait(metrics),
      placement_timer(clock),
      retry_timer(clock),
      wait_timer(clock),
      expiry_timer(clock) {
  this->expiry_timer.StartPeriodic(kExpiryInterval,
                                   [this] { this->DropExpiredAnswers(); });
}

JobCoordinator::~JobCoordinator() = default;

std::uint64_t JobCoordinator::Submit(JobRequest request, JobResponder respond) {
  const std::uint64_t number = this->next_caller++;
  Job::Caller caller{number, std::move(respond), nullptr, nullptr};
  if (this->JoinOrReject(request.id, caller)) return number;
  const auto configuration = this->catalog.GetCatalog().configuration;
  if (!configuration) {
    kLog.Info("Job is rejected. job={} cause=\"no configuration\"", request.id);
    caller.respond({JobEnd::kNotReady, kNotReadyRetry});
    return number;
  }
  const catalog::Route* route =
      configuration->FindRoute(request.host, request.path);
  if (route == nullptr) {
    kLog.Info("Job has no route. job={} host={} version={}", request.id,
              request.host, configuration->version);
    caller.respond({JobEnd::kNoRoute, {}});
    return number;
  }
  if (route->requires_placement_hint) {
    kLog.Warning(
        "Job is rejected. job={} route={} cause=\"placement hint required\"",
        request.id, route->name);
    caller.respond({JobEnd::kRejected, kUnsupportedRetry});
    return number;
  }
  this->Begin(std::move(request), *route, configuration->version,
              std::move(caller));
  return number;
}

std::uint64_t JobCoordinator::Accept(
    JobRequest request, const catalog::Route& route, std::uint64_t version,
    JobResponder respond, std::function<bool()> is_waiting,
    std::function<base::TimePoint()> earliest_answer) {
  const std::uint64_t number = this->next_caller++;
  Job::Caller caller{number, std::move(respond), std::move(is_waiting),
                     std::move(earliest_answer)};
  if (this->JoinOrReject(request.id, caller)) return number;
  this->Begin(std::move(request), route, version, std::move(caller));
  return number;
}

// Answers the caller or adds it to a job in flight. Returns false when the
// caller needs a new job.
bool JobCoordinator::JoinOrReject(const std::string& id, Job::Caller& caller) {
  const auto running = this->jobs.find(id);
  if (running != this->jobs.end()) {
    running->second->callers.push_back(std::move(caller));
    return true;
  }
  const auto recent = this->recent_answers.find(id);
  if (recent != this->recent_answers.end()) {
    caller.respond({recent->second.end, {}});
    return true;
  }
  if (!this->rejecting) return false;
  const bool has_ending_runs = this->ending_runs.contains(id);
  kLog.Info("Job is rejected. job={} cause=\"process is leaving\" ending={}",
            id, has_ending_runs);
  if (has_ending_runs) {
    caller.respond({JobEnd::kInterrupted, {}});
  } else {
    caller.respond({JobEnd::kRejected, kLeavingRetry});
  }
  return true;
}

void JobCoordinator::Begin(JobRequest request, const catalog::Route& route,
                           std::uint64_t version, Job::Caller caller) {
  const auto job = std::make_shared<Job>();
  job->request = std::move(request);
  job->route = route;
  job->config_version = version;
  job->tasks.resize(static_cast<std::size_t>(job->request.task_count));
  job->waiting_tasks = job->request.task_count;
  const auto ending = this->ending_runs.find(job->request.id);
  if (ending != this->ending_runs.end()) {
    for (Job::Task& task : job->tasks) task.run = ending->second.last_run;
    job->has_unconfirmed_run = true;
    kLog.Info(
        "Job is submitted again while runs of it are being stopped. job={} "
        "tasks={} last_run={}",
        job->request.id, ending->second.open.size(), ending->second.last_run);
  }
  job->nominal_run_time = job->request.estimate;
  job->timer = std::make_unique<base::Timer>(this->clock);
  job->callers.push_back(std::move(caller));
  job->SetTimes(this->clock.Now(), this->TimeLimitFor(job->request, route));
  this->metrics.Count("jobs.submitted");
  this->jobs[job->request.id] = job;
  this->WaitForRunsOfOthers(*job, this->placer.RunsOfOthers());
  this->ArmTimer(*job);
  this->SchedulePlacement();
}

base::Duration JobCoordinator::TimeLimitFor(const JobRequest& request,
                                            const catalog::Route& route) const {
  const base::Duration time_limit = TimeLimitOf(request, route);
  if (!this->new_jobs_end) return time_limit;
  return std::min(time_limit, *this->new_jobs_end - this->clock.Now());
}

void JobCoordinator::SchedulePlacement() {
  if (this->placement_timer.IsActive()) return;
  this->placement_timer.StartOnce(base::Duration{0},
                                  [this] { this->PlaceWaitingTasks(); });
}

void JobCoordinator::PlaceWaitingTasks() {
  std::vector<JobPointer> waiting_jobs;
  for (const auto& [id, job] : this->jobs) {
    if (job->waiting_tasks > 0) waiting_jobs.push_back(job);
  }
  if (waiting_jobs.empty()) {
    this->placer.SetTasksWaiting(false);
    return;
  }
  std::sort(waiting_jobs.begin(), waiting_jobs.end(),
            [](const JobPointer& a, const JobPointer& b) {
              return a->IsPlacedBefore(*b);
            });
  std::vector<Candidate> candidates = this->ValuedCandidates();
  const cluster::JobRuns runs_of_others = this->placer.RunsOfOthers();
  this->wait.BeginPass(this->clock.Now());
  bool tasks_waiting = false;
  for (const JobPointer& job : waiting_jobs) {
    if (this->WaitForRunsOfOthers(*job, runs_of_others)) {
      this->RetryPlacement();
      continue;
    }
    if (!job->IsAwaited()) {
      this->metrics.Count("jobs.unconfirmed_placements");
      this->RetryPlacement();
      continue;
    }
    const Placement placement = this->PlaceTasks(*job, candidates);
    if (placement == Placement::kComplete) continue;
    if (placement == Placement::kWaits) {
      tasks_waiting = true;
      continue;
    }
    if (placement == Placement::kRefused) {
      // The endpoints may accept other tasks, so none is reserved.
      tasks_waiting = true;
      this->RetryPlacement();
      continue;
    }
    if (!this->placer.IsServed(this->RequirementsOf(*job))) {
      this->Finish(job->request.id, job->UnservedEnd(),
                   "all endpoints are in evacuated domains or out of reach");
      continue;
    }
    if (!CanMeetDeadline(candidates, this->RequirementsOf(*job))) {
      this->Finish(job->request.id, job->UnservedEnd(),
                   "cannot meet the deadline");
      continue;
    }
    // Later jobs leave one endpoint to each waiting task of this one; otherwise
    // a large task would never find an endpoint with enough free capacity.
    tasks_waiting = true;
    Reserve(candidates, this->RequirementsOf(*job), this->clock.Now(),
            job->tasks_without_endpoint);
    if (!HasFreeCapacity(candidates)) break;
  }
  this->placer.SetTasksWaiting(tasks_waiting);
  const auto next_end = this->wait.NextEnd();
  if (!next_end) return;
  this->wait_timer.StartOnce(*next_end - this->clock.Now(),
                             [this] { this->PlaceWaitingTasks(); });
}

void JobCoordinator::RetryPlacement() {
  this->retry_timer.StartOnce(kPlacementRetry,
                              [this] { this->SchedulePlacement(); });
}

// Returns the candidates with the value of their capacity.
std::vector<Candidate> JobCoordinator::ValuedCandidates() const {
  std::vector<Candidate> candidates = this->placer.Candidates();
  CapacityValue(candidates, this->SizesInFlight(), this->placer.TasksWait())
      .SetIn(candidates);
  return candidates;
}

std::vector<CapacityValue::Kind> JobCoordinator::CapacityByKind() const {
  return CapacityValue(this->placer.Candidates(), this->SizesInFlight(),
                       this->placer.TasksWait())
      .Kinds();
}

TaskSizes JobCoordinator::SizesInFlight() const {
  TaskSizes sizes;
  for (const auto& [id, job] : this->jobs) {
    sizes.Add(job->route.service, job->request.resources,
              job->request.task_count);
  }
  return sizes;
}

TaskRequirements JobCoordinator::RequirementsOf(const Job& job) const {
  const base::TimePoint now = this->clock.Now();
  TaskRequirements requirements;
  requirements.service = job.route.service;
  requirements.label = job.request.required_label;
  requirements.near_label = job.request.near_label;
  requirements.far_factor = this->settings.far_factor;
  requirements.resources = job.request.resources;
  requirements.job_task_count = job.request.task_count;
  if (job.nominal_run_time_measured) {
    requirements.estimate = job.nominal_run_time;
    requirements.estimate_log_std_dev = kMeasuredLogStdDev;
  } else {
    const auto expected =
        this->run_times.Expect(job.route.name, job.nominal_run_time);
    requirements.estimate = expected.run_time;
    requirements.estimate_log_std_dev = expected.log_std_dev;
  }
  const auto nominal_run_time_us =
      std::max<double>(static_cast<double>(job.nominal_run_time.count()), 1);
  requirements.objective_pace =
      static_cast<double>((job.objective_end - now).count()) /
      nominal_run_time_us;
  requirements.deadline = job.deadline - now;
  return requirements;
}

// Records the real or projected run time of a task, once.
void JobCoordinator::RecordRunTime(const Job& job, Job::Task& task,
                                   base::Duration run_time) {
  if (std::exchange(task.run_time_recorded, true)) return;
  const double error = this->run_times.Record(
      job.route.name, job.request.estimate, Scale(run_time, 1 / task.pace),
      job.request.task_count);
  this->metrics.Observe("jobs.run_time_error", std::abs(error));
}

// Makes the job wait while runs of it are in progress that this process has not
// placed, since an earlier submission of the job went to another process. Its
// tasks get higher run numbers, which the endpoints do not refuse. Returns
// whether the job waits.
bool JobCoordinator::WaitForRunsOfOthers(Job& job,
                                         const cluster::JobRuns& others) {
  const auto found = others.find(job.request.id);
  if (found == others.end()) return false;
  for (Job::Task& task : job.tasks) {
    if (task.state == Job::TaskState::kWaiting)
      task.run = std::max(task.run, found->second);
  }
  job.has_unconfirmed_run = true;
  if (job.awaits_other_runs) return true;
  job.awaits_other_runs = true;
  this->metrics.Count("jobs.copies_delayed");
  kLog.Info(
      "Job waits for runs that another process has placed. job={} last_run={} "
      "age_ms={}",
      job.request.id, found->second,
      (this->clock.Now() - job.arrival) / milliseconds(1));
  return true;
}

JobCoordinator::Placement JobCoordinator::PlaceTasks(
    Job& job, std::vector<Candidate>& candidates) {
  const TaskRequirements requirements = this->RequirementsOf(job);
  Placement result = Placement::kComplete;
  for (std::size_t index = 0; index < job.tasks.size(); ++index) {
    Job::Task& task = job.tasks[index];
    if (task.state != Job::TaskState::kWaiting) continue;
    if (this->HasEndingRun(job, index)) continue;
    std::set<std::string> refused;
    bool placed = false;
    bool waits = false;
    while (!placed) {
      const PlacementWait::Decision decision =
          this->ChooseFor(job, task, refused, candidates, requirements);
      waits = decision.waits;
      if (decision.endpoint == nullptr) break;
      placed = this->PlaceTask(job, index, *decision.endpoint, requirements);
      if (!placed) refused.insert(std::string(decision.endpoint->endpoint));
    }
    if (placed) continue;
    if (waits) {
      if (result == Placement::kComplete) result = Placement::kWaits;
      continue;
    }
    if (refused.empty()) {
      job.tasks_without_endpoint = static_cast<int>(
          std::count_if(job.tasks.begin() + static_cast<std::ptrdiff_t>(index),
                        job.tasks.end(), [](const Job::Task& other) {
                          return other.state == Job::TaskState::kWaiting;
                        }));
      return Placement::kNoEndpoint;
    }
    result = Placement::kRefused;
  }
  return result;
}

// Chooses an endpoint for a task, without those in `refused`, or decides that
// it waits for a better one.
PlacementWait::Decision JobCoordinator::ChooseFor(
    const Job& job, Job::Task& task, const std::set<std::string>& refused,
    std::vector<Candidate>& candidates, TaskRequirements requirements) {
  std::set<std::string> avoid = task.avoid;
  avoid.insert(refused.begin(), refused.end());
  requirements.avoid = &avoid;
  Candidate* candidate = ChooseEndpoint(candidates, requirements);
  if (candidate == nullptr && task.failed_runs > 0) {
    // An endpoint where the task failed before is better than none.
    requirements.avoid = &refused;
    candidate = ChooseEndpoint(candidates, requirements);
  }
  return this->wait.Decide(candidate, candidates, requirements,
                           job.LatestPlacement(), task.wait);
}

bool JobCoordinator::PlaceTask(Job& job, std::size_t index,
                               Candidate& candidate,
                               const TaskRequirements& requirements) {
  Job::Task& task = job.tasks[index];
  const double pace = PaceFor(candidate, requirements);
  runs::TaskOrder order;
  order.task = TaskName(job.request.id, index);
  order.run = ++task.run;
  order.endpoint = std::string(candidate.endpoint);
  order.incarnation_start_ms = candidate.incarnation_start_ms;
  order.payload = job.request.payload;
  order.resources = job.request.resources;
  // The estimate includes the factor for the distance to the data, so that the
  // pace learned for the endpoint does not. It is based on the declared run
  // time rather than on the expected one, which depends on learned paces: the
  // two would change each other.
  order.estimate = Scale(job.nominal_run_time, pace / candidate.pace);
  order.time_left = requirements.deadline;
  task.pace = pace;
  task.projection = {};
  task.moving = false;
  const bool placed = this->placer.Place(
      candidate, order, this->HandlersFor(job, index, order.endpoint),
      &task.placed_run);
  if (!placed) {
    --task.run;
    return false;
  }
  this->wait.RecordPlacement(job.request.id, index, candidate, requirements,
                             task.wait);
  candidate.free -= order.resources;
  this->metrics.Observe("jobs.capacity_value", candidate.capacity_value);
  task.state = Job::TaskState::kPlaced;
  --job.waiting_tasks;
  task.placed_at = this->clock.Now();
  job.last_placed = task.placed_at;
  if (!job.first_placed) job.first_placed = job.last_placed;
  if (++job.placed_tasks == 1 && !job.has_run) {
    this->metrics.Observe(
        "jobs.wait_ms", static_cast<double>((this->clock.Now() - job.arrival) /
                                            milliseconds(1)));
    this->ArmTimer(job);
  }
  return true;
}

// A report about a run may arrive after its job has ended, while a copy of the
// job is in flight under the same id and run numbers. The handlers therefore
// refer to the job object rather than to its id.
runs::RunHandlers JobCoordinator::HandlersFor(Job& job, std::size_t index,
                                              const std::string& endpoint) {
  const std::weak_ptr<Job> weak_job = this->jobs.at(job.request.id);
  const std::uint64_t run = job.tasks[index].run;
  runs::RunHandlers handlers;
  handlers.on_end = [this, weak_job, id = job.request.id, index, run,
                     endpoint](RunOutcome outcome) {
    this->SchedulePlacement();
    const JobPointer locked_job = weak_job.lock();
    if (locked_job && !locked_job->ended) {
      this->OnRunEnd(*locked_job, index, run, outcome, endpoint);
    } else {
      this->OnEndingRunEnd(id, index);
    }
  };
  handlers.on_overdue = [this, weak_job, index, run](base::Duration expected) {
    const JobPointer locked_job = weak_job.lock();
    if (locked_job && !locked_job->ended)
      this->OnOverdue(*locked_job, index, run, expected);
  };
  handlers.latest_end = [weak_job] {
    const JobPointer locked_job = weak_job.lock();
    return locked_job && !locked_job->ended ? LatestEndOf(*locked_job)
                                            : std::optional<base::TimePoint>();
  };
  return handlers;
}

void JobCoordinator::OnRunEnd(Job& job, std::size_t index, std::uint64_t run,
                              RunOutcome outcome, const std::string& endpoint) {
  const std::string& id = job.request.id;
  Job::Task& task = job.tasks[index];
  if (task.state != Job::TaskState::kPlaced || task.run != run) return;
  --job.placed_tasks;
  // An endpoint that knows a higher run has had one of an earlier submission.
  if (outcome == RunOutcome::kUnconfirmed || outcome == RunOutcome::kStaleRun) {
    job.has_unconfirmed_run = true;
  }
  if (IsWithoutRun(outcome)) {
    ++job.refused_placements;
  } else {
    job.has_run = true;
  }
  if (outcome == RunOutcome::kDone) {
    const base::Duration run_time = this->clock.Now() - task.placed_at;
    task.seen_run_time = Scale(run_time, 1 / task.pace);
    this->RecordRunTime(job, task, run_time);
    task.state = Job::TaskState::kDone;
    ++job.done_tasks;
    if (job.done_tasks == job.request.task_count) {
      this->Finish(id, JobEnd::kComplete, "all tasks are done");
    }
    return;
  }
  kLog.Info("Run ended. job={} task={} run={} endpoint={} outcome={} age_ms={}",
            id, index, run, endpoint, runs::NameOf(outcome),
            (this->clock.Now() - job.arrival) / milliseconds(1));
  task.state = Job::TaskState::kWaiting;
  ++job.waiting_tasks;
  if (outcome == RunOutcome::kFailed) {
    ++task.failed_runs;
    task.avoid.insert(endpoint);
    if (task.failed_runs >= job.route.max_attempts) {
      this->Finish(id, JobEnd::kFailed, "a task failed too often");
      return;
    }
  }
  if (outcome == RunOutcome::kLost) task.avoid.insert(endpoint);
  // Another process may have started runs of the task under higher numbers.
  if (outcome == RunOutcome::kStaleRun) task.run += kStaleRunSkip;
  // When all placements of the job are refused, it has not started, so its
  // latest start applies again.
  if (!job.MayHaveRun()) this->ArmTimer(job);
}

// Moves the task of an overdue run to another endpoint, or ends the job, when
// the run has no chance to end in time where it is.
void JobCoordinator::OnOverdue(Job& job, std::size_t index, std::uint64_t run,
                               base::Duration expected) {
  const std::string& id = job.request.id;
  Job::Task& task = job.tasks[index];
  if (task.state != Job::TaskState::kPlaced || task.run != run || task.moving) {
    return;
  }
  const base::TimePoint now = this->clock.Now();
  task.projection.Add(now - task.placed_at, expected);
  task.seen_run_time = Scale(expected, 1 / task.pace);
  const OverdueRun overdue{task.placed_run.endpoint, expected, task.pace,
                           task.projection.ChanceToEndIn(job.deadline - now)};
  TaskRequirements requirements = this->RequirementsOf(job);
  requirements.avoid = &task.avoid;
  const OverdueDecision decision =
      OverduePolicy(this->ValuedCandidates()).Decide(overdue, requirements);
  kLog.Info(
      "Task is overdue. job={} task={} run={} endpoint={} pace={:.2f} "
      "expected_ms={} left_ms={} chance={:.3f} min_chance={:.3f} value={:.2f} "
      "action={}",
      id, index, run, overdue.endpoint, task.pace, expected / milliseconds(1),
      (job.deadline - now) / milliseconds(1), overdue.chance,
      decision.min_chance, decision.value, NameOf(decision.action));
  // Most overdue runs are stopped before their end. Without their projected
  // run times, the route would seem to have no long runs.
  if (decision.nominal_run_time) this->RecordRunTime(job, task, expected);
  if (OverduePolicy::IsSpared(overdue, decision))
    this->metrics.Count("jobs.overdue_runs_spared");
  if (decision.action == OverdueAction::kContinue) return;
  if (decision.action == OverdueAction::kEndJob) {
    this->metrics.Count("jobs.overdue_runs_ended");
    this->Finish(id, JobEnd::kInterrupted, "cannot meet the deadline");
    return;
  }
  if (decision.nominal_run_time) {
    job.nominal_run_time = *decision.nominal_run_time;
    job.nominal_run_time_measured = true;
  }
  task.moving = true;
  task.avoid.insert(task.placed_run.endpoint);
  this->metrics.Count("jobs.moved_tasks");
  // The task waits until the run has ended, so the run may go on.
  this->placer.Stop(task.placed_run, {});
}

void JobCoordinator::ArmTimer(Job& job) {
  const base::TimePoint due = job.MayHaveRun()
                                  ? job.deadline
                                  : std::min(job.latest_start, job.deadline);
  job.timer->StartOnce(due - this->clock.Now(),
                       [this, id = job.request.id] { this->OnTimer(id); });
}

void JobCoordinator::OnTimer(const std::string& id) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) return;
  Job& job = *found->second;
  if (!job.MayHaveRun()) {
    this->Finish(id, job.UnservedEnd(), "no room in time");
    return;
  }
  this->Finish(id, JobEnd::kTimedOut, "deadline");
}

void JobCoordinator::Abandon(const std::string& id, std::uint64_t caller) {
  this->Abandon(id, caller, this->clock.Now());
}

void JobCoordinator::Abandon(const std::string& id, std::uint64_t caller,
                             base::TimePoint ended_at) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) return;
  auto& callers = found->second->callers;
  std::erase_if(callers, [caller](const Job::Caller& item) {
    return item.number == caller;
  });
  if (!callers.empty()) return;
  this->Finish(id, JobEnd::kCancelled, "caller left", ended_at);
}

bool JobCoordinator::Cancel(const std::string& id) {
  if (!this->Contains(id)) return false;
  this->Finish(id, JobEnd::kCancelled, "cancelled");
  return true;
}

void JobCoordinator::InterruptAll() {
  std::vector<std::string> ids;
  for (const auto& [id, job] : this->jobs) ids.push_back(id);
  for (const std::string& id : ids) {
    this->Finish(id, this->jobs[id]->UnservedEnd(), "process is stopping");
  }
}

void JobCoordinator::Finish(const std::string& id, JobEnd end,
                            const char* cause) {
  this->Finish(id, end, cause, this->clock.Now());
}

// Ends a job and answers the callers that still wait. `ended_at` is the time
// after which a copy of the job may come.
void JobCoordinator::Finish(const std::string& id, JobEnd end,
                            const char* cause, base::TimePoint ended_at) {
  const auto found = this->jobs.find(id);
  const JobPointer job = found->second;
  this->jobs.erase(found);
  job->ended = true;
  job->timer->Stop();
  const base::TimePoint now = this->clock.Now();
  JobAnswer answer{end, {}};
  if (end == JobEnd::kRejected) {
    this->advisor.RecordRejected(now);
    answer.retry_after = this->advisor.Advise(now, id);
  } else if (end == JobEnd::kInterrupted && !job->MayHaveRun()) {
    // The job found no room, as a rejected one.
    this->advisor.RecordRejected(now);
  } else {
    this->advisor.RecordServed(now);
  }
  if (end == JobEnd::kComplete || end == JobEnd::kFailed) {
    this->recent_answers[id] = {end, now};
  }
  this->LogEnd(*job, end, cause, answer.retry_after);
  this->StopRuns(*job, ended_at);
  this->metrics.Count(std::string("jobs.") + NameOf(end));
  for (const Job::Caller& caller : job->callers) caller.respond(answer);
  this->SchedulePlacement();
}

// Stops the runs of a job that ended at `ended_at`. A stop may report the end
// at once.
void JobCoordinator::StopRuns(const Job& job, base::TimePoint ended_at) {
  if (job.placed_tasks == 0) return;
  EndingRuns& ending = this->ending_runs[job.request.id];
  for (std::size_t index = 0; index < job.tasks.size(); ++index) {
    const Job::Task& task = job.tasks[index];
    ending.last_run = std::max(ending.last_run, task.run);
    if (task.state == Job::TaskState::kPlaced) ++ending.open[index];
  }
  for (const Job::Task& task : job.tasks) {
    if (task.state == Job::TaskState::kPlaced)
      this->placer.Stop(task.placed_run, ended_at + runs::kRunEndLimit);
  }
}

void JobCoordinator::OnEndingRunEnd(const std::string& id, std::size_t index) {
  const auto ending = this->ending_runs.find(id);
  if (ending == this->ending_runs.end()) return;
  auto& open = ending->second.open;
  const auto runs_of_task = open.find(index);
  if (runs_of_task == open.end()) return;
  if (--runs_of_task->second == 0) open.erase(runs_of_task);
  if (open.empty()) this->ending_runs.erase(ending);
}

cluster::ReportedJobs JobCoordinator::JobsInProgress() const {
  cluster::ReportedJobs reported;
  // From their start on: the process that placed them may be lost before it has
  // reported the job, and this one before it has noticed that.
  reported.hosted = this->placer.HostedRuns();
  reported.to_all = this->placer.OrphanedRuns();
  for (const auto& [id, ending] : this->ending_runs) {
    cluster::AddRun(reported.to_all, id, ending.last_run);
  }
  const base::TimePoint now = this->clock.Now();
  for (const auto& [id, job] : this->jobs) {
    // Copies that have only waited so far do not make each other wait.
    const bool is_reported =
        job->awaits_other_runs
            ? job->MayHaveRun()
            : now - job->arrival >= kCopyNotice || !job->IsAwaited();
    if (is_reported) cluster::AddRun(reported.to_all, id, job->LastRun());
  }
  return reported;
}

// Returns whether a task has a run of an earlier submission of its job whose
// end is not reported yet.
bool JobCoordinator::HasEndingRun(const Job& job, std::size_t index) const {
  const auto ending = this->ending_runs.find(job.request.id);
  return ending != this->ending_runs.end() &&
         ending->second.open.contains(index);
}

void JobCoordinator::LogEnd(const Job& job, JobEnd end, const char* cause,
                            base::Duration retry_after) const {
  const base::TimePoint now = this->clock.Now();
  if (end == JobEnd::kComplete) {
    LogComplete(job, now);
    return;
  }
  const TaskRequirements requirements = this->RequirementsOf(job);
  LogEarlyEnd(job, end, now,
              {cause, retry_after, requirements.estimate,
               CountFreeRoom(this->ValuedCandidates(), requirements),
               this->TasksAheadOf(job)});
}

// Returns the number of tasks that wait before those of `job`.
int JobCoordinator::TasksAheadOf(const Job& job) const {
  int tasks = 0;
  for (const auto& [id, other] : this->jobs) {
    if (other->waiting_tasks > 0 && other->IsPlacedBefore(job))
      tasks += other->waiting_tasks;
  }
  return tasks;
}

std::int64_t JobCoordinator::PendingJobCount(const std::string& host,
                                             const std::string& path) const {
  const auto configuration = this->catalog.GetCatalog().configuration;
  if (!configuration) return kNoConfiguration;
  const catalog::Route* route = configuration->FindRoute(host, path);
  if (route == nullptr) return kNoSuchRoute;
  return std::count_if(this->jobs.begin(), this->jobs.end(),
                       [route](const auto& item) {
                         return item.second->route.name == route->name &&
                                !item.second->MayHaveRun();
                       });
}

void JobCoordinator::DropExpiredAnswers() {
  const base::TimePoint now = this->clock.Now();
  std::erase_if(this->recent_answers, [now](const auto& item) {
    return now - item.second.ended_at > kAnswerRetention;
  });
}

}  // namespace hawthornwheel::jobs
