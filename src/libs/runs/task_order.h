#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "catalog/resources.h"

namespace hawthornwheel::runs {

/// Outcome of a placed task, certain when it is reported.
enum class RunOutcome {
  kDone = 1,
  /// The task failed; its own fault or its endpoint's.
  kFailed,
  /// It did not run and will not under this run number.
  kNotRun,
  /// As kNotRun; only a higher run number can start it there.
  kStaleRun,
  /// It was stopped on request.
  kStopped,
  /// It ran and was cut short: its lease lapsed, or its endpoint was lost.
  kLost,
};

/// Name for logs.
const char* NameOf(RunOutcome outcome);

/// One task to run at one endpoint.
struct TaskOrder {
  std::string task;
  std::uint64_t run = 1;
  std::string endpoint;
  std::string payload;
  catalog::Resources resources;
  /// Declared run time.
  base::Duration estimate{0};
  /// How long from now its end is of use to the caller.
  base::Duration time_left{0};
};

/// Called back about one run.
struct RunHandlers {
  /// Once, when the run has ended.
  std::function<void(RunOutcome)> on_end;
  /// When its progress shows that it will end too late; tells the whole run
  /// time that it is heading for. May come more than once.
  std::function<void(base::Duration expected)> on_overdue;
};

}  // namespace hawthornwheel::runs
