#pragma once

#include <string>

#include "base/clock.h"
#include "dispatch/job.h"
#include "wire/caller.pb.h"

namespace hawthornwheel::dispatch {

/// What callers can ask for. Callbacks run once, on the loop's thread, possibly
/// from within the call.
class JobService {
 public:
  virtual ~JobService() = default;

  /// Submits a job and answers when it has ended, or with a pending answer
  /// after `wait`.
  virtual void Submit(const wire::SubmitRequest& request, base::Duration wait,
                      AnswerCallback done) = 0;

  /// Answers when the job has ended, or with a pending answer after `wait`.
  virtual void Query(const std::string& key, base::Duration wait,
                     AnswerCallback done) = 0;

  /// Cancels a job and answers with its final state.
  virtual void Cancel(const std::string& key, AnswerCallback done) = 0;

  /// Prefix for a new key.
  virtual std::string CurrentPrefix() const = 0;

  /// Whether new jobs are taken.
  virtual bool IsReady() const = 0;
};

}  // namespace hawthornwheel::dispatch
