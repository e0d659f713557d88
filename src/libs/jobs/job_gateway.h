#pragma once

#include <cstdint>
#include <string>

#include "jobs/job_answer.h"
#include "jobs/job_request.h"

namespace hawthornwheel::jobs {

/// Accepts jobs from callers, whichever process runs them.
class JobGateway {
 public:
  /// Results of PendingJobCount() other than a count.
  static constexpr std::int64_t kNoSuchRoute = -1;
  static constexpr std::int64_t kNoConfiguration = -2;

  virtual ~JobGateway() = default;

  /// Accepts a job; a copy of a job in flight joins it. Returns a number that
  /// identifies the waiting caller. `respond` may be called before Submit()
  /// returns.
  virtual std::uint64_t Submit(JobRequest request, JobResponder respond) = 0;

  /// Removes a caller that has gone; its job is stopped when no other caller
  /// waits for it.
  virtual void Abandon(const std::string& id, std::uint64_t caller) = 0;

  /// Stops a job wherever it is. Returns false when it is not known here.
  virtual bool Cancel(const std::string& id) = 0;

  /// Returns whether the job is in flight.
  virtual bool Contains(const std::string& id) const = 0;

  /// Returns the number of jobs without a placed task on the route of `host`
  /// and `path`, kNoSuchRoute or kNoConfiguration.
  virtual std::int64_t PendingJobCount(const std::string& host,
                                       const std::string& path) const = 0;
};

}  // namespace hawthornwheel::jobs
