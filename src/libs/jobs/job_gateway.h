#pragma once

#include <cstdint>
#include <string>

#include "jobs/job_answer.h"
#include "jobs/job_request.h"

namespace hawthornwheel::jobs {

/// Takes jobs from callers, wherever they are run.
class JobGateway {
 public:
  /// Answers of PendingOn() beside a count.
  static constexpr std::int64_t kNoSuchRoute = -1;
  static constexpr std::int64_t kNoConfiguration = -2;

  virtual ~JobGateway() = default;

  /// Takes a job; a copy of one in the works joins it. Returns a number that
  /// names the waiting caller.
  virtual std::uint64_t Submit(JobRequest request, JobResponder respond) = 0;

  /// The caller has gone; its job is stopped when nobody else waits for it.
  virtual void Abandon(const std::string& id, std::uint64_t caller) = 0;

  /// Stops a job; returns false when it is not known here.
  virtual bool Cancel(const std::string& id) = 0;

  /// Whether the job is in the works.
  virtual bool Contains(const std::string& id) const = 0;

  /// Jobs on the route of `host` and `path` without a placed task.
  virtual std::int64_t PendingOn(const std::string& host,
                                 const std::string& path) const = 0;
};

}  // namespace hawthornwheel::jobs
