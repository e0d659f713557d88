#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "cluster/catalog_sync.h"
#include "cluster/cluster_board.h"
#include "cluster/heartbeat_sender.h"
#include "cluster/membership_discovery.h"

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

/// Discovers the other processes through the store and the seeds, exchanges
/// heartbeats with them, and synchronises catalog records that not all of them
/// have read from the store.
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

  /// Sets the function that writes the held endpoints into a heartbeat.
  void SetHeldEndpointWriter(HeartbeatSender::HeldEndpointWriter writer);

  /// Sets the function that returns the jobs with runs in progress which copies
  /// at other processes have to wait for. Heartbeats report them.
  void SetJobsInProgress(HeartbeatSender::JobsInProgress jobs);

  /// Sets the function that returns the peer addresses of the processes that
  /// have tasks or jobs open with this one. Heartbeats to them stay frequent
  /// whatever the roles are.
  void SetOpenWorkPeers(HeartbeatSender::OpenWorkPeers peers);

  /// Must be called before a task or job is sent to the process at `address`,
  /// and when one is accepted from it.
  void BeginOpenWork(const std::string& address) {
    this->sender.BeginOpenWork(address);
  }

  /// Returns the jobs with runs in progress that other processes have reported.
  /// The report of a lost process counts until its runs have ended or are
  /// reported by the holders of their endpoints.
  JobRuns JobsInProgressElsewhere() const;

  /// Sets the function that is called when a member joins, leaves or is lost,
  /// holds other endpoints, or has another role.
  void SetMembersListener(std::function<void()> listener);

  /// Sets the function that is called when a member has reported the state of
  /// its endpoints.
  void SetCapacityListener(std::function<void()> listener);

  /// Schedules an update about changed held endpoints to the members that
  /// receive all of them.
  void MarkHeldChanged();

  /// Sets whether tasks of this process are waiting for free resources.
  void SetTasksWaiting(bool tasks_waiting);

  /// Sets the weight of this process, which determines its role and its share
  /// of the domain's endpoints.
  void SetWeight(std::uint32_t weight);

  /// Sends a heartbeat to all members now.
  void SendHeartbeats() { this->sender.SendToAll(); }

  /// Announces to all members that this process is leaving.
  void Leave();

  /// Processes an envelope. Returns false for one that is not about membership
  /// or the catalog. Drops one for another incarnation of this process.
  bool Receive(const wire::Envelope& envelope);

  /// Fills in the sender and sends `envelope` to the process at `address`. An
  /// envelope that the transport does not accept is dropped and counted.
  void Send(const std::string& address, wire::Envelope envelope);

  /// Returns a lower bound of the steady clock of `member`, in milliseconds.
  std::uint64_t SteadyMsOf(const ClusterBoard::Member& member) const;

  /// Returns a lower bound of the steady clock of the process at `address` at
  /// `time` here, in milliseconds; 0 if the process is unknown.
  std::uint64_t SteadyMsAt(const std::string& address,
                           base::TimePoint time) const;

  /// Returns the time at which the own steady clock shows `steady_ms`; nothing
  /// for 0.
  std::optional<base::TimePoint> TimeOfSteadyMs(std::uint64_t steady_ms) const;

  /// Returns the own steady clock in milliseconds, as sent in heartbeats.
  std::uint64_t OwnSteadyMs() const;

  /// Returns whether enough time for heartbeats has passed since the start, or
  /// since a pause of this process, to know which process holds which endpoint.
  bool IsMembershipKnown() const;

  /// Returns whether `member` has confirmed a heartbeat that this process sent
  /// so recently that `member` cannot have counted this process as lost since.
  /// Pauses of this process count, whether it has noticed them or not.
  bool IsConfirmedBy(const ClusterBoard::Member& member) const;

  /// Returns the time since this process sent the latest heartbeat that
  /// `member` has confirmed, or 0 while it has confirmed none. Late heartbeats
  /// of `member` do not reduce it.
  base::Duration TimeSinceConfirmed(const ClusterBoard::Member& member) const;

  /// Returns whether this process has been a coordinator for long enough to
  /// know which other domains have coordinators.
  bool AreOtherDomainsKnown() const;

 private:
  void OnTick();
  void CheckMembership();
  void FillHeartbeat(wire::MemberHeartbeat& heartbeat) const;
  void UpdateRoles();
  void DropUnrelated();
  void AwaitHolders();
  void FindLost();
  void FindGone();
  bool CanPresumeGone(const ClusterBoard::Member& member) const;
  bool HasMajority() const;
  void AnnouncePresence();
  void Announce();
  void ReceiveMembers(const std::vector<catalog::StoreRecord>& records);
  void AddMember(const std::string& address);
  void ReceiveHeartbeat(const wire::Envelope& envelope);
  bool IsRelated(const wire::MemberAnnounce& announce, bool coordinates,
                 bool reports_jobs) const;

  Parts parts;
  ClusterBoard board;
  HeartbeatSender sender;
  CatalogSync sync;
  std::vector<std::string> seeds;
  std::unique_ptr<catalog::TopicFollower> members_follower;
  std::function<void()> members_listener;
  std::function<void()> capacity_listener;
  MembershipDiscovery discovery;
  base::Timer tick_timer;
  base::Timer announce_timer;
  base::Timer presence_timer;
  base::TimePoint last_tick;
  /// Whether a role was assigned after the membership had become known.
  bool role_assigned = false;
  base::TimePoint role_assigned_at;
};

}  // namespace hawthornwheel::cluster
