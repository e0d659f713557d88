#pragma once

#include <functional>

#include "base/clock.h"

namespace hawthornwheel::jobs {

/// Outcome of a job for its caller.
enum class JobEnd {
  /// All tasks are done.
  kComplete,
  /// A task failed as often as its route allows.
  kFailed,
  /// No task has run or will run; the caller may submit the job again later.
  kRejected,
  /// No configuration is known yet; no task has run.
  kNotReady,
  /// No route matches the job; no task has run.
  kNoRoute,
  /// Tasks may have run; they were stopped or lost, or it is not known that
  /// they cannot start any more.
  kInterrupted,
  /// As kInterrupted, because the deadline passed.
  kTimedOut,
  /// The job was cancelled, or its last caller left.
  kCancelled,
};

/// Returns the name of `end` in logs and metrics.
const char* NameOf(JobEnd end);

/// Holds the answer to one submission.
struct JobAnswer {
  JobEnd end = JobEnd::kRejected;
  /// Time after which the caller should retry, with kRejected and kNotReady.
  base::Duration retry_after{0};
};

/// Receives the answer to a submission.
using JobResponder = std::function<void(const JobAnswer&)>;

}  // namespace hawthornwheel::jobs
