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

/// Keeps admitted jobs until they end. A job ends once: with every result, or
/// with one failure that stops the rest.
///
/// Owns on the blackboard: `jobs`, `queue`, and the queued tasks of the
/// services.
class JobLifecycle {
 public:
  /// All references must outlive the lifecycle.
  JobLifecycle(base::Clock& clock, AttemptController& attempts,
               RoutingController& routing, DispatchBoard& board,
               base::Metrics& metrics, const DispatchSettings& settings);

  /// Sets the function called when a job has ended and has its answer.
  void SetEndListener(std::function<void(Job&)> listener);

  /// Takes in an admitted job; its tasks start with the next run of routing.
  Job& Create(const SubmissionKey& key, bool key_assigned,
              const wire::SubmitRequest& request,
              std::shared_ptr<const fleet::ServiceConfig> service);

  /// Ends a job that has not ended.
  void Fail(Job& job, const base::Error& error);

  /// Ends every open job; used when a drain takes too long.
  void FailAll(base::ErrorKind kind, const std::string& detail);

  /// Jobs that have not ended.
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
  /// Ended jobs in the order in which their answers are forgotten.
  std::deque<std::pair<base::TimePoint, JobId>> retained;
};

}  // namespace hawthornwheel::dispatch
