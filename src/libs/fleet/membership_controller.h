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

/// Tracks the process incarnations of the fleet.
///
/// Owns this blackboard field: `members`. Members are discovered through the
/// log, the seeds in the settings and heartbeats. Heartbeats go to all live
/// members of the own failure domain; between failure domains only a few relays
/// exchange heartbeats.
class MembershipController {
 public:
  /// Adds load and endpoint state to a heartbeat.
  using HeartbeatFiller = std::function<void(wire::Heartbeat&)>;

  /// All references must outlive the controller.
  MembershipController(base::Clock& clock, control_log::LogClient& log,
                       PeerMessenger& messenger, FleetBoard& board,
                       base::Metrics& metrics, const FleetSettings& settings);

  /// Announces this process in the log and starts sending heartbeats.
  void Start();

  /// Processes an announce or leave record from the log; ignores other records.
  void OnRecord(const wire::LogRecord& record);

  /// Sends heartbeats immediately, for example when an endpoint starts to
  /// leave.
  void SendHeartbeatsNow();

  /// Sets the function that adds load and endpoint state to heartbeats.
  void SetHeartbeatFiller(HeartbeatFiller filler);

  /// Sets the function called for each heartbeat received.
  void SetHeartbeatListener(
      std::function<void(const wire::Envelope&)> listener);

  /// Sets the function called after the set of live members of the own failure
  /// domain changes.
  void SetChangeListener(std::function<void()> listener);

  /// Sets the function called with each member of the own failure domain that
  /// is no longer live. Members that drain are not reported.
  void SetLostMemberListener(std::function<void(const Member&)> listener);

  /// Joins the failure domain, at the start or again after a pause. During the
  /// join delay, in which the other members answer, this process does not count
  /// itself as live.
  void Join();

  /// Announces to the peers and in the log that this process is leaving. Calls
  /// `done` when the append to the log has succeeded or failed.
  void Leave(std::function<void()> done);

  /// Detects members whose heartbeats have timed out and calls the listeners.
  void CheckLiveness();

  /// Returns whether this process counts itself as live in its failure domain:
  /// the join delay has passed and it is not leaving.
  bool HasJoined() const;

  /// Returns the time since the join delay ended; negative before that.
  base::Duration JoinedFor() const;

  /// Returns whether a member has not left and its latest heartbeat is within
  /// the timeout.
  bool IsLive(const Member& member) const;

  /// Returns the live incarnations of a failure domain, sorted by name, without
  /// draining ones. Includes this process when it belongs to the domain and has
  /// joined.
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
  void UpdateLiveMembers();
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
