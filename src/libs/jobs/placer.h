#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cluster/job_runs.h"
#include "jobs/candidate.h"
#include "jobs/endpoint_choice.h"
#include "runs/task_order.h"

namespace hawthornwheel::jobs {

/// Identifies a placed run, so that it can be stopped.
struct PlacedRun {
  /// Number of the placement when another process runs it, else 0.
  std::uint64_t placement = 0;
  std::string endpoint;
  std::string task;
  std::uint64_t run = 0;
};

/// Starts tasks at the endpoints of this process and of other processes.
class Placer {
 public:
  virtual ~Placer() = default;

  /// Returns the endpoints that take tasks at present, also those without free
  /// capacity.
  virtual std::vector<Candidate> Candidates() const = 0;

  /// Returns whether an endpoint that this process may use can run a task with
  /// these requirements, now or once it has free capacity. False only if
  /// failure domains are evacuated and no endpoint elsewhere can.
  virtual bool IsServed(const TaskRequirements& requirements) const {
    static_cast<void>(requirements);
    return true;
  }

  /// Starts a task at `candidate` and stores the run in `placed`. Returns
  /// false, without starting anything, when the endpoint has no free capacity.
  virtual bool Place(const Candidate& candidate, const runs::TaskOrder& order,
                     runs::RunHandlers handlers, PlacedRun* placed) = 0;

  /// Stops a placed run, which must have ended by `end_by`, also if its
  /// endpoint leaves stop orders without an answer. Without `end_by`, it may go
  /// on until one arrives.
  virtual void Stop(const PlacedRun& placed,
                    std::optional<base::TimePoint> end_by) = 0;

  /// Returns the jobs with runs in progress that this process has not placed:
  /// runs of other processes at its endpoints, and those that other processes
  /// report.
  virtual cluster::JobRuns RunsOfOthers() const { return {}; }

  /// Returns the jobs with runs at the endpoints of this process that the
  /// process which placed them cannot report: it is lost, or an earlier holder
  /// of the endpoint started them.
  virtual cluster::JobRuns OrphanedRuns() const { return {}; }

  /// Returns the jobs with runs of other processes at the endpoints of this
  /// process, by the incarnation of the process that placed them.
  virtual std::map<std::string, cluster::JobRuns> HostedRuns() const {
    return {};
  }

  /// Sets whether tasks wait for free capacity.
  virtual void SetTasksWaiting(bool waiting) = 0;

  /// Returns whether tasks wait for free capacity, in this process or, by their
  /// latest reports, in others.
  virtual bool TasksWait() const { return false; }
};

}  // namespace hawthornwheel::jobs
