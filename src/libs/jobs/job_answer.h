#pragma once

#include <functional>

#include "base/clock.h"

namespace hawthornwheel::jobs {

/// How a job ended for its caller.
enum class JobEnd {
  kComplete,
  /// A task failed as often as its route allows.
  kFailed,
  /// No task has run or will run; it may come again later.
  kRejected,
  /// No configuration is known yet; no task has run.
  kNotReady,
  /// No route leads anywhere; no task has run.
  kNoRoute,
  /// Tasks may have run, and were stopped or lost.
  kInterrupted,
  /// As kInterrupted, at the deadline.
  kTimedOut,
  kCancelled,
};

/// Name for logs and metrics.
const char* NameOf(JobEnd end);

/// Answer to one submission.
struct JobAnswer {
  JobEnd end = JobEnd::kRejected;
  /// With kRejected and kNotReady: when to come back.
  base::Duration retry_after{0};
};

using JobResponder = std::function<void(const JobAnswer&)>;

}  // namespace hawthornwheel::jobs
