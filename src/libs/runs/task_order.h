#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "catalog/resources.h"

namespace hawthornwheel::runs {

/// Outcome of a run of a placed task. An outcome is reported only once the run
/// has ended or is rejected by its endpoint. The numbers are sent between
/// processes.
enum class RunOutcome {
  kDone = 1,
  /// The task failed, through its own fault or that of its endpoint.
  kFailed,
  /// The task did not run and will not run under this run number.
  kNotRun,
  /// As kNotRun, but only a higher run number can start the task at this
  /// endpoint.
  kStaleRun,
  /// The run was stopped on request.
  kStopped,
  /// The run was interrupted: its lease expired, or its endpoint was lost.
  kLost,
  /// The start order was not answered, and the endpoint does not have the run.
  /// It rejects the order from now on, but only until it restarts, so the order
  /// may still be carried out. The task may be placed again.
  kUnconfirmed,
};

/// Returns the name for logs.
const char* NameOf(RunOutcome outcome);

/// Describes one run of a task at one endpoint.
struct TaskOrder {
  std::string task;
  /// Run number; rises with each start of the task.
  std::uint64_t run = 1;
  std::string endpoint;
  /// Start of the endpoint's incarnation whose entry was chosen, in Unix
  /// milliseconds; 0 if unknown.
  std::int64_t incarnation_start_ms = 0;
  std::string payload;
  catalog::Resources resources;
  /// Expected run time at an endpoint of pace 1, with the distance to the data
  /// included.
  base::Duration estimate{0};
  /// Time from now after which the result is of no use to the caller.
  base::Duration time_left{0};
};

/// Holds the callbacks of one run.
struct RunHandlers {
  /// Called once, when the run has ended.
  std::function<void(RunOutcome)> on_end;
  /// Called when the progress of the run shows that it will end too late, with
  /// the projected total run time. May be called more than once.
  std::function<void(base::Duration expected)> on_overdue;
  /// Returns the time by which the run must have ended if the process that
  /// waits for it is not heard from again; nothing while there is none. Empty
  /// if the run is for this process.
  std::function<std::optional<base::TimePoint>()> latest_end;
};

}  // namespace hawthornwheel::runs
