#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/error.h"
#include "base/timer.h"
#include "dispatch/attempt_controller.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/dispatch_settings.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::dispatch {

class RoutingController;

/// Manages admitted jobs from creation until their answers expire. A job ends
/// exactly once: with the results of all tasks, or with one failure that stops
/// its remaining tasks.
///
/// Owns these blackboard fields: `jobs`, `queue`, and the counts of queued
/// tasks of the services.
class JobLifecycle {
 public:
  /// All references must outlive the lifecycle.
  JobLifecycle(base::Clock& clock, AttemptController& attempts,
               RoutingController& routing, DispatchBoard& board,
               base::Metrics& metrics, const DispatchSettings& settings);

  /// Sets the function that is called when a job has ended and its answer is
  /// set.
  void SetEndListener(std::function<void(Job&)> listener);

  /// Creates and queues an admitted job. Its tasks start in the next run of
  /// RoutingController.
  Job& Create(const SubmissionKey& key, bool key_assigned,
              const wire::SubmitRequest& request,
              std::shared_ptr<const fleet::ServiceConfig> service);

  /// Ends an open job with a failure.
  void Fail(Job& job, const base::Error& error);

  /// Ends every open job with a failure. Used when a drain times out or is cut
  /// short by a second stop signal.
  void FailAll(base::ErrorKind kind, const std::string& detail);

  /// Returns the number of jobs that have not ended.
  std::size_t OpenJobs() const { return this->open_jobs; }

 private:
  void OnOutcome(JobId id, std::uint32_t task, const AttemptResult& result);
  void OnCompleted(Job& job, std::uint32_t task, const AttemptResult& result);
  void OnNotStarted(Job& job, std::uint32_t task, const AttemptResult& result);
  void Requeue(Job& job, std::uint32_t task);
  void Expire(JobId id);
  void Complete(Job& job);
  void End(Job& job, wire::JobAnswer answer);
  void ScheduleRemoval(JobId id);
  void RemoveExpiredAnswers();

  base::Clock& clock;
  AttemptController& attempts;
  RoutingController& routing;
  DispatchBoard& board;
  base::Metrics& metrics;
  const DispatchSettings& settings;
  base::Timer cleanup_timer;
  std::function<void(Job&)> end_listener;
  JobId last_job = 0;
  std::size_t open_jobs = 0;
  /// Ended jobs and the times at which their answers expire, earliest first.
  std::deque<std::pair<base::TimePoint, JobId>> retained;
};

}  // namespace hawthornwheel::dispatch
