#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/dispatch_settings.h"
#include "fleet/fleet_board.h"
#include "wire/caller.pb.h"

namespace hawthornwheel::dispatch {

/// Maximum number of tasks in one job.
inline constexpr int kMaxTasksPerJob = 150;

/// Decides whether a new job is admitted. Reads the blackboards and changes
/// nothing, so a refused job has never run.
class AdmissionController {
 public:
  /// All references must outlive the controller.
  AdmissionController(base::Clock& clock, const fleet::FleetBoard& fleet_board,
                      const DispatchBoard& board,
                      const DispatchSettings& settings);

  /// Returns the configuration of the requested service if the job is admitted,
  /// or the error with which the job is refused.
  base::Result<std::shared_ptr<const fleet::ServiceConfig>> Admit(
      const wire::SubmitRequest& request) const;

  /// Returns the urgency class of a valid request.
  static fleet::Urgency UrgencyOf(const wire::SubmitRequest& request);

  /// Returns the expected time until the last of `tasks` new tasks of a class
  /// starts. Returns 0 when no task of the class is queued. While the
  /// throughput of the class is unknown, also returns 0 when the service has no
  /// usable slot or no known run time.
  base::Duration ExpectedWait(const ServiceLoad& load, fleet::Urgency urgency,
                              std::uint32_t tasks) const;

 private:
  std::optional<base::Error> CheckFields(
      const wire::SubmitRequest& request) const;
  std::optional<base::Error> CheckService(
      const wire::SubmitRequest& request,
      const fleet::ServiceConfig* service) const;
  std::optional<base::Error> CheckTasks(
      const wire::SubmitRequest& request,
      const fleet::ServiceConfig& service) const;
  std::optional<base::Error> CheckCapacity(
      const wire::SubmitRequest& request,
      const fleet::ServiceConfig& service) const;
  std::optional<base::Error> CheckWait(const wire::SubmitRequest& request,
                                       const ServiceLoad& load) const;
  /// Checks whether the longest task may end at one of the endpoints in the
  /// time that is `left` after the expected wait.
  static std::optional<base::Error> CheckRunTime(
      const wire::SubmitRequest& request, const ServiceLoad& load,
      base::Duration left);
  bool OrganisationExists(const std::string& organisation) const;

  base::Clock& clock;
  const fleet::FleetBoard& fleet_board;
  const DispatchBoard& board;
  const DispatchSettings& settings;
};

}  // namespace hawthornwheel::dispatch
