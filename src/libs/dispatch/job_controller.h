#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "base/clock.h"
#include "base/timer.h"
#include "dispatch/admission_controller.h"
#include "dispatch/attempt_controller.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/dispatch_settings.h"
#include "dispatch/job_service.h"
#include "dispatch/key_registry.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::dispatch {

class RoutingController;

/// Keeps the jobs whose home is this process, from admission to the one answer.
///
/// Owns on the blackboard: `jobs`, `queue`, and `queued_tasks` of the services.
/// A job ends once: with every result, or with one failure that stops the rest.
class JobController final : public JobService {
 public:
  /// All references must outlive the controller.
  JobController(base::Clock& clock, const AdmissionController& admission,
                AttemptController& attempts, RoutingController& routing,
                DispatchBoard& board, base::Metrics& metrics,
                const DispatchSettings& settings, std::string home);

  void Submit(const wire::SubmitRequest& request, base::Duration wait,
              AnswerCallback done) override;
  void Query(const std::string& key, base::Duration wait,
             AnswerCallback done) override;
  void Cancel(const std::string& key, AnswerCallback done) override;
  std::string CurrentPrefix() const override;
  bool IsReady() const override;

  /// Sets whether a configuration is in force, as the blackboard says.
  void SetReadiness(std::function<bool()> is_ready);

  /// Jobs that have not ended.
  std::size_t OpenJobs() const { return this->open_jobs; }

  /// Ends every open job; used when a drain takes too long.
  void FailAll(base::ErrorKind kind, const std::string& detail);

  /// Keys remembered.
  std::size_t RememberedKeys() const { return this->registry.Size(); }

 private:
  Job& CreateJob(const SubmissionKey& key, bool key_assigned,
                 const wire::SubmitRequest& request,
                 std::shared_ptr<const fleet::ServiceConfig> service);
  void AnswerKnown(const SubmissionKey& key, std::uint64_t fingerprint,
                   base::Duration wait, AnswerCallback done);
  void RefuseStanding(const SubmissionKey& key, KeyStanding standing,
                      const AnswerCallback& done);
  void Wait(Job& job, base::Duration wait, AnswerCallback done);
  void OnWaitOver(JobId id, std::uint64_t waiter);
  void Refuse(const std::string& key, const base::Error& error,
              const AnswerCallback& done);
  wire::JobAnswer PendingAnswer(const Job& job) const;

  void OnOutcome(JobId id, std::uint32_t task, const AttemptResult& result);
  void OnCompleted(Job& job, std::uint32_t task, const AttemptResult& result);
  void OnNotStarted(Job& job, std::uint32_t task, const AttemptResult& result);
  void Requeue(Job& job, std::uint32_t task);
  void Complete(Job& job);
  void Fail(Job& job, const base::Error& error);
  void End(Job& job, wire::JobAnswer answer);
  void ScheduleForget(JobId id);
  void ForgetDue();

  base::Clock& clock;
  const AdmissionController& admission;
  AttemptController& attempts;
  RoutingController& routing;
  DispatchBoard& board;
  base::Metrics& metrics;
  const DispatchSettings& settings;
  KeyRegistry registry;
  base::Timer forget_timer;
  std::function<bool()> is_ready;
  JobId last_job = 0;
  std::uint64_t last_waiter = 0;
  std::size_t open_jobs = 0;
  /// Ended jobs in the order in which their answers are forgotten.
  std::deque<std::pair<base::TimePoint, JobId>> retained;
};

}  // namespace hawthornwheel::dispatch
