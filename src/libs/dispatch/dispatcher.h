#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "dispatch/dispatch_settings.h"
#include "dispatch/endpoint_client.h"
#include "dispatch/job_service.h"
#include "fleet/fleet_board.h"
#include "fleet/fleet_settings.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::fleet {
class PeerTransport;
class MembershipController;
}  // namespace hawthornwheel::fleet
namespace hawthornwheel::control_log {
class LogClient;
class VmListClient;
}  // namespace hawthornwheel::control_log

namespace hawthornwheel::dispatch {

struct DispatchBoard;
class DrainController;
class JobController;

/// What the decisions of one process are built on.
struct DispatcherDependencies {
  base::Clock& clock;
  control_log::LogClient& log;
  control_log::VmListClient& vm_list;
  fleet::PeerTransport& transport;
  EndpointClient& endpoints;
  base::Metrics& metrics;
};

/// All blackboards and controllers of one process, wired together. It knows no
/// socket, so that it runs under a paused clock.
class Dispatcher {
 public:
  /// What `dependencies` refers to must outlive the dispatcher.
  Dispatcher(const DispatcherDependencies& dependencies,
             wire::MemberAnnounce self,
             const fleet::FleetSettings& fleet_settings,
             const DispatchSettings& dispatch_settings);
  ~Dispatcher();

  /// Sets the addresses of the fronts, once their ports are known. Must be
  /// called before Start().
  void SetAddresses(const std::string& callers, const std::string& admin);

  /// Starts the timers, and reads from the platform.
  void Start();

  /// The service for callers.
  JobService& Jobs();

  const fleet::FleetBoard& GetFleetBoard() const;
  const DispatchBoard& GetDispatchBoard() const;
  const fleet::MembershipController& GetMembership() const;
  const JobController& GetJobController() const;
  DrainController& GetDrain();

  /// Jobs that have not ended.
  std::size_t OpenJobs() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::dispatch
