#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "base/timer.h"
#include "control_log/vm_list_client.h"
#include "fleet/fleet_board.h"
#include "fleet/fleet_settings.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::fleet {

/// Follows the platform's list of VMs and the signs that an endpoint leaves.
///
/// Owns on the blackboard: `vms`, `vm_list_version`, `leaving`. A sign comes
/// from the list, from the endpoint's own refusal or from a peer's heartbeat,
/// and is passed on with this process's heartbeats.
class LeavingController {
 public:
  /// All references must outlive the controller.
  LeavingController(base::Clock& clock, control_log::VmListClient& vm_list,
                    FleetBoard& board, base::Metrics& metrics,
                    const FleetSettings& settings);

  /// Starts to poll the list.
  void Start();

  /// Takes a sign that the endpoint at `address` leaves.
  void MarkLeaving(const std::string& address);

  /// Whether the endpoint at `address` must get no new work.
  bool IsLeaving(const std::string& address) const;

  /// Adds the signs that this process saw itself.
  void FillHeartbeat(wire::Heartbeat& heartbeat) const;

  /// Takes the signs of a peer.
  void OnHeartbeat(const wire::Heartbeat& heartbeat);

  /// Sets the function called after this process itself saw a new sign.
  void SetNoticeListener(std::function<void()> listener);

  /// Sets the function called after the list or a sign has changed.
  void SetChangeListener(std::function<void()> listener);

 private:
  bool HasNotice(const std::string& address) const;
  void Poll();
  void OnList(base::Result<wire::VmList> list);
  void RemoveExpiredNotices();

  base::Clock& clock;
  control_log::VmListClient& vm_list;
  FleetBoard& board;
  base::Metrics& metrics;
  const FleetSettings& settings;
  base::Timer poll_timer;
  std::function<void()> change_listener;
  std::function<void()> notice_listener;
  /// Signs that this process saw itself, by address, with the time of each.
  std::map<std::string, base::TimePoint> own_notices;
};

}  // namespace hawthornwheel::fleet
