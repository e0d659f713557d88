#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "dispatch/admission_controller.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/dispatch_settings.h"
#include "dispatch/job_lifecycle.h"
#include "dispatch/job_service.h"
#include "dispatch/key_registry.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::dispatch {

class RoutingController;

/// Serves the jobs whose home is this process: checks their submission keys and
/// answers waiting calls. JobLifecycle manages admitted jobs.
class JobController final : public JobService {
 public:
  /// All references must outlive the controller.
  JobController(base::Clock& clock, const AdmissionController& admission,
                JobLifecycle& lifecycle, RoutingController& routing,
                DispatchBoard& board, base::Metrics& metrics,
                const DispatchSettings& settings, std::string home);

  void Submit(const wire::SubmitRequest& request, base::Duration wait,
              AnswerCallback done) override;
  void Query(const std::string& key, base::Duration wait,
             AnswerCallback done) override;
  void Cancel(const std::string& key, AnswerCallback done) override;
  std::string CurrentPrefix() const override;
  bool IsReady() const override;

  /// Sets the function that returns whether the process can accept new jobs. A
  /// process that drains accepts none. Without the function, IsReady() depends
  /// on draining alone.
  void SetReadinessCheck(std::function<bool()> is_ready);

  /// Returns the number of remembered keys, sealed ones included.
  std::size_t RememberedKeys() const { return this->registry.Size(); }

 private:
  void AnswerKnown(const SubmissionKey& key, std::uint64_t fingerprint,
                   base::Duration wait, AnswerCallback done);
  void RefuseMalformed(const std::string& key, const AnswerCallback& done);
  void RefuseByStatus(const SubmissionKey& key, KeyStatus status,
                      const AnswerCallback& done);
  void Wait(Job& job, base::Duration wait, AnswerCallback done);
  void AnswerWaiters(Job& job);
  void OnWaitTimeout(JobId id, std::uint64_t waiter);
  void Refuse(const std::string& key, const base::Error& error,
              const AnswerCallback& done);
  wire::JobAnswer PendingAnswer(const Job& job) const;

  base::Clock& clock;
  const AdmissionController& admission;
  JobLifecycle& lifecycle;
  RoutingController& routing;
  DispatchBoard& board;
  base::Metrics& metrics;
  KeyRegistry registry;
  std::function<bool()> is_ready;
  std::uint64_t last_waiter = 0;
};

}  // namespace hawthornwheel::dispatch
