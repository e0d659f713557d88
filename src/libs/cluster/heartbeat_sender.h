#pragma once

#include <functional>
#include <string>

#include "base/timer.h"
#include "cluster/cluster_board.h"

namespace hawthornwheel::cluster {

/// Sends heartbeats: often to those that this process deals with, seldom to
/// the others, and in detail only where the detail is used. Changes of room go
/// to the coordinators of the domain between heartbeats.
class HeartbeatSender {
 public:
  /// Which endpoints a heartbeat tells of.
  enum class Detail {
    /// All that are held.
    kAll,
    /// Those that have changed since the last heartbeat to the domain.
    kChanged,
    /// Some with room, and those of other domains.
    kSummary,
  };

  /// Writes endpoints into a heartbeat.
  using HeldSource = std::function<void(wire::MemberHeartbeat&, Detail)>;

  struct Hooks {
    /// Fills in versions and clocks.
    std::function<void(wire::MemberHeartbeat&)> fill_heartbeat;
    std::function<void(const std::string& address, wire::Envelope)> send;
  };

  /// References must outlive the sender.
  HeartbeatSender(base::Clock& clock, ClusterBoard& board, Hooks hooks);

  void SetHeldSource(HeldSource source) { this->held_source = source; }

  /// Sends what is due; to be called at each kTick.
  void Tick();
  static constexpr base::Duration kTick = std::chrono::milliseconds(200);

  /// Sends a heartbeat to every known process now.
  void SendToAll();

  /// Sends a heartbeat to one process now.
  void SendNow(const std::string& address);

  /// Tells the coordinators of the domain soon what has changed.
  void MarkChanged();

  /// Tells the coordinators of the domain that tasks wait here, or no longer.
  void SendTasksWaiting();

  /// How long a member that told `interval` may be silent.
  static base::Duration HeartbeatTimeout(base::Duration interval);

 private:
  base::Duration IntervalTo(const ClusterBoard::Member& member) const;
  Detail DetailFor(const ClusterBoard::Member& member) const;
  void SendTo(const std::string& address, ClusterBoard::Member& member,
              Detail detail);
  void SendUpdate();
  bool IsUpdateTarget(const ClusterBoard::Member& member) const;

  base::Clock& clock;
  ClusterBoard& board;
  Hooks hooks;
  HeldSource held_source;
  base::Timer update_timer;
  bool update_urgent = false;
  base::TimePoint last_waiting_update;
  std::uint64_t ticks = 0;
};

}  // namespace hawthornwheel::cluster
