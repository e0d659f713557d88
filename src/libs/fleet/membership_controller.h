#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/timer.h"
#include "control_log/log_client.h"
#include "fleet/fleet_board.h"
#include "fleet/fleet_settings.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::fleet {

class PeerMessenger;

/// Keeps the incarnations that this process knows of.
///
/// Owns on the blackboard: `members`. Incarnations come from the log, from the
/// seeds of the settings and from heartbeats. Heartbeats go to all live members
/// of the own failure domain; between domains only a few relays exchange them.
class MembershipController {
 public:
  /// Fills what a heartbeat says beside the member itself.
  using HeartbeatFiller = std::function<void(wire::Heartbeat&)>;

  /// All references must outlive the controller.
  MembershipController(base::Clock& clock, control_log::LogClient& log,
                       PeerMessenger& messenger, FleetBoard& board,
                       base::Metrics& metrics, const FleetSettings& settings);

  /// Announces this process and starts the heartbeats.
  void Start();

  /// Takes records of membership from the log.
  void OnRecord(const wire::LogRecord& record);

  /// Sends a heartbeat at once, as when an endpoint was seen leaving.
  void SendHeartbeatsNow();

  /// Sets the function that adds load and endpoint state to heartbeats.
  void SetHeartbeatFiller(HeartbeatFiller filler);

  /// Sets the function called for each heartbeat taken.
  void SetHeartbeatListener(
      std::function<void(const wire::Envelope&)> listener);

  /// Sets the function called after the set of live members has changed.
  void SetChangeListener(std::function<void()> listener);

  /// Sets the function called with each member of the own failure domain that
  /// is no longer live.
  void SetLostMemberListener(std::function<void(const Member&)> listener);

  /// Makes this process join its domain anew, as after a pause: for a short
  /// while it is not counted as live itself, until it has heard of the others.
  void Rejoin();

  /// Tells peers and the log that this process leaves; `done` runs when the log
  /// has answered, or failed to.
  void Leave(std::function<void()> done);

  /// Looks for members that fell silent.
  void CheckLiveness();

  /// Whether this process counts as live in its domain.
  bool HasJoined() const;

  /// Time since this process joined; negative before.
  base::Duration JoinedFor() const;

  /// Whether a member was heard lately and has not left.
  bool IsLive(const Member& member) const;

  /// Live incarnations of a failure domain in the order of their names, this
  /// process included when it belongs there and is not leaving.
  std::vector<std::string> LiveIn(const std::string& domain) const;

 private:
  void Announce();
  void SendHeartbeats();
  void SendTo(const std::string& address, const wire::Heartbeat& heartbeat);
  wire::Heartbeat MakeHeartbeat() const;
  void AddRemoteDigests(wire::Heartbeat& heartbeat) const;
  std::set<std::string> HeartbeatTargets() const;
  bool IsRelay() const;
  std::vector<std::string> RelaysOf(const std::string& domain) const;
  void OnHeartbeat(const wire::Envelope& envelope);
  void OnRemoteDigest(const wire::MemberDigest& digest);
  Member& FindOrAddMember(const wire::MemberAnnounce& announce);
  void MarkReplacedMembers(const wire::MemberAnnounce& newer);
  void RemoveSilentMembers();
  void NotifyChange();
  void ReportLostMembers(const std::vector<std::string>& live) const;

  base::Clock& clock;
  control_log::LogClient& log;
  PeerMessenger& messenger;
  FleetBoard& board;
  base::Metrics& metrics;
  const FleetSettings& settings;
  base::Timer heartbeat_timer;
  base::Timer announce_timer;
  base::Timer early_heartbeat_timer;
  HeartbeatFiller filler;
  std::function<void(const wire::Envelope&)> heartbeat_listener;
  std::function<void()> change_listener;
  std::function<void(const Member&)> lost_member_listener;
  std::vector<std::string> last_live;
  base::TimePoint joined_at;
  base::Timer join_timer;
  std::uint64_t heartbeat_round = 0;
  bool leaving = false;
};

}  // namespace hawthornwheel::fleet
