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
};

using RunEndHandler = std::function<void(RunOutcome)>;

}  // namespace hawthornwheel::runs
