#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "cluster/catalog_sync.h"
#include "cluster/cluster_board.h"
#include "cluster/heartbeat_sender.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::catalog {
class CatalogController;
class TopicFollower;
class MetadataStore;
struct StoreRecord;
}  // namespace hawthornwheel::catalog
namespace hawthornwheel::fleet {
class PeerTransport;
}

namespace hawthornwheel::cluster {

/// Finds the other processes through the store and the seeds, exchanges
/// heartbeats with them, and passes on what the store told one but not
/// another.
class ClusterController {
 public:
  struct Parts {
    base::Clock& clock;
    catalog::MetadataStore& store;
    catalog::CatalogController& catalog;
    fleet::PeerTransport& transport;
    base::Metrics& metrics;
  };

  /// `parts` must outlive the controller.
  ClusterController(const Parts& parts, wire::MemberAnnounce self,
                    std::vector<std::string> seeds);
  ~ClusterController();

  void Start();

  const ClusterBoard& Board() const { return this->board; }

  /// Function that writes the held endpoints into a heartbeat.
  void SetHeldSource(HeartbeatSender::HeldSource source);

  /// Called when a member came or was lost, holds other endpoints, or has
  /// another role.
  void SetMembersListener(std::function<void()> listener);

  /// Called when a member told news of the room at its endpoints.
  void SetCapacityListener(std::function<void()> listener);

  /// Tells the coordinators of the domain soon that held endpoints have
  /// changed.
  void MarkChanged();

  /// Sets whether tasks of this process wait for room anywhere.
  void SetTasksWaiting(bool tasks_waiting);

  /// Sets the share of the domain's work that this process takes.
  void SetWeight(std::uint32_t weight);

  /// Tells all that this process leaves.
  void Leave();

  /// Takes an envelope; returns false for one that is of no concern here.
  bool Receive(const wire::Envelope& envelope);

  /// Sends `envelope` to the process at `address` after filling in the sender.
  void Send(const std::string& address, wire::Envelope envelope);

  /// Lower bound of the steady clock of `member`, in milliseconds.
  std::uint64_t SteadyMsOf(const ClusterBoard::Member& member) const;

  /// Own steady clock in milliseconds, as heartbeats carry it.
  std::uint64_t OwnSteadyMs() const;

  /// Whether enough heartbeats were heard since the start, or since a pause
  /// of this process, to tell who holds what.
  bool IsSettled() const;

 private:
  void OnTick();
  void FillHeartbeat(wire::MemberHeartbeat& heartbeat) const;
  void UpdateRoles();
  void DropUnrelated();
  void FindLost();
  void FindGone();
  bool IsConfirmedGone(const ClusterBoard::Member& member) const;
  bool HasMajority() const;
  void AnnouncePresence();
  void Announce();
  void ReceiveMembers(const std::vector<catalog::StoreRecord>& records);
  void AddMember(const std::string& address);
  void ReceiveHeartbeat(const wire::Envelope& envelope);
  bool IsRelated(const ClusterBoard::Member& member,
                 const wire::MemberHeartbeat& heartbeat) const;

  Parts parts;
  ClusterBoard board;
  HeartbeatSender sender;
  CatalogSync sync;
  std::vector<std::string> seeds;
  std::unique_ptr<catalog::TopicFollower> members_follower;
  std::function<void()> members_listener;
  std::function<void()> capacity_listener;
  base::Timer tick_timer;
  base::Timer announce_timer;
  base::Timer presence_timer;
  base::TimePoint last_tick;
  base::TimePoint started;
  base::TimePoint unsettled_until;
  bool members_read = false;
};

}  // namespace hawthornwheel::cluster
