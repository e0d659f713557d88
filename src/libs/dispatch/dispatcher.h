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

/// Holds references to the objects that a dispatcher uses but does not own.
struct DispatcherDependencies {
  base::Clock& clock;
  control_log::LogClient& log;
  control_log::VmListClient& vm_list;
  fleet::PeerTransport& transport;
  EndpointClient& endpoints;
  base::Metrics& metrics;
};

/// Owns and connects all blackboards and controllers of one process. Performs
/// no socket I/O itself, so that tests can run it on a manual clock.
class Dispatcher {
 public:
  /// The objects that `dependencies` refers to must outlive the dispatcher.
  Dispatcher(const DispatcherDependencies& dependencies,
             wire::MemberAnnounce self,
             const fleet::FleetSettings& fleet_settings,
             const DispatchSettings& dispatch_settings);
  ~Dispatcher();

  /// Sets the addresses, `IP:port`, at which callers and operators reach the
  /// process. Must be called before Start(), once the ports are known.
  void SetAddresses(const std::string& callers, const std::string& admin);

  /// Starts the timers and begins to read from the platform.
  void Start();

  /// Returns the job service for callers.
  JobService& Jobs();

  const fleet::FleetBoard& GetFleetBoard() const;
  const DispatchBoard& GetDispatchBoard() const;
  const fleet::MembershipController& GetMembership() const;
  const JobController& GetJobController() const;
  DrainController& GetDrain();

  /// Returns the number of jobs that have not ended.
  std::size_t OpenJobs() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::dispatch
