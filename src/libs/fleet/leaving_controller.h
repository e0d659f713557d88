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

/// Tracks which endpoints are leaving and must get no new work.
///
/// Owns these blackboard fields: `vms`, `vm_list_version`, `leaving`. A leaving
/// notice comes from the platform's VM list, from the endpoint's own refusal or
/// from a peer's heartbeat. Notices from the list and from refusals are
/// forwarded in the heartbeats of this process.
class LeavingController {
 public:
  /// All references must outlive the controller.
  LeavingController(base::Clock& clock, control_log::VmListClient& vm_list,
                    FleetBoard& board, base::Metrics& metrics,
                    const FleetSettings& settings);

  /// Starts polling the VM list.
  void Start();

  /// Records a notice of this process that the endpoint at `address` is
  /// leaving.
  void MarkLeaving(const std::string& address);

  /// Returns whether the endpoint at `address`, or the VM at its IP address, is
  /// leaving and must get no new work.
  bool IsLeaving(const std::string& address) const;

  /// Adds the notices that this process received itself and the leaving VMs of
  /// the list.
  void FillHeartbeat(wire::Heartbeat& heartbeat) const;

  /// Records the notices in a peer's heartbeat.
  void OnHeartbeat(const wire::Heartbeat& heartbeat);

  /// Sets the function called after this process itself received a new notice
  /// or a new version of the VM list.
  void SetNoticeListener(std::function<void()> listener);

  /// Sets the function called after the VM list or the set of notices changes.
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
  /// Times of the latest notices that this process received itself, by endpoint
  /// address.
  std::map<std::string, base::TimePoint> own_notices;
};

}  // namespace hawthornwheel::fleet
