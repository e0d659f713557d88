#pragma once

#include <cstddef>

#include "base/clock.h"

namespace hawthornwheel::node {

/// Work of a process that has to end before the process stops.
class Drainable {
 public:
  virtual ~Drainable() = default;

  /// Returns the number of jobs that this process runs, plus the jobs of its
  /// callers that other processes run.
  virtual std::size_t OpenJobs() const = 0;

  /// Returns whether tasks of other processes' jobs run here.
  virtual bool HostsTasks() const = 0;

  /// Returns whether a request of a caller has arrived whose answer has not
  /// been written yet, also one that has not been read.
  virtual bool HasOpenRequests() const = 0;

  /// Makes new jobs end by `time`.
  virtual void EndNewJobsBy(base::TimePoint time) = 0;

  /// Rejects new jobs from now on.
  virtual void RejectNewJobs() = 0;

  /// Ends all open jobs and answers their callers, in the next iterations of
  /// the event loop.
  virtual void InterruptJobs() = 0;

  /// Closes the connections of callers. No further request is read.
  virtual void Disconnect() = 0;
};

}  // namespace hawthornwheel::node
