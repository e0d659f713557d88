#pragma once

#include <string>

#include "base/clock.h"
#include "dispatch/job.h"
#include "wire/caller.pb.h"

namespace hawthornwheel::dispatch {

/// Interface for submitting, querying and cancelling jobs. Each callback runs
/// exactly once, on the event loop's thread, possibly before the call returns.
class JobService {
 public:
  virtual ~JobService() = default;

  /// Submits a job. Answers when the job has ended, or with a pending answer
  /// after `wait`.
  virtual void Submit(const wire::SubmitRequest& request, base::Duration wait,
                      AnswerCallback done) = 0;

  /// Queries a job. Answers when the job has ended, or with a pending answer
  /// after `wait`.
  virtual void Query(const std::string& key, base::Duration wait,
                     AnswerCallback done) = 0;

  /// Cancels a job. Answers with its final state.
  virtual void Cancel(const std::string& key, AnswerCallback done) = 0;

  /// Returns the prefix for new submission keys, `home/epoch/`.
  virtual std::string CurrentPrefix() const = 0;

  /// Returns whether the process accepts new jobs.
  virtual bool IsReady() const = 0;
};

}  // namespace hawthornwheel::dispatch
