#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>

#include "base/timer.h"
#include "cluster/cluster_board.h"
#include "cluster/reported_jobs.h"

namespace hawthornwheel::cluster {

/// Sends heartbeats: at a short interval to members that exchange tasks or jobs
/// with this process by their roles, or have open ones from earlier roles, at a
/// long interval to the others, and with all held endpoints only to members
/// that use them: the coordinators of the domain and those of evacuated
/// domains, which use no endpoints of their own. Changes of held endpoints are
/// sent to the same members between heartbeats.
class HeartbeatSender {
 public:
  /// Which endpoints a heartbeat includes.
  enum class Detail {
    /// All held endpoints.
    kAll,
    /// Held endpoints that have changed since the last update to the domain.
    kChanged,
    /// Some held endpoints of the domain of this process with free resources,
    /// and all held endpoints of other domains.
    kSummary,
    /// No endpoints: an entry hands over its jobs and places no tasks.
    kNone,
  };

  /// Writes endpoints into a heartbeat.
  using HeldEndpointWriter =
      std::function<void(wire::MemberHeartbeat&, Detail)>;

  /// Returns the jobs that a copy at another process has to wait for.
  using JobsInProgress = std::function<ReportedJobs()>;

  /// Returns the peer addresses of the processes that have tasks or jobs open
  /// with this one.
  using OpenWorkPeers = std::function<std::set<std::string>()>;

  struct Hooks {
    /// Fills in the sender, its state, versions and clock.
    std::function<void(wire::MemberHeartbeat&)> fill_heartbeat;
    /// Sends an envelope to the process at `address`.
    std::function<void(const std::string& address, wire::Envelope)> send;
    /// Returns whether a failure domain is evacuated.
    std::function<bool(const std::string& domain)> is_evacuated;
  };

  /// References must outlive the sender.
  HeartbeatSender(base::Clock& clock, ClusterBoard& board, Hooks hooks);

  void SetHeldEndpointWriter(HeldEndpointWriter writer) {
    this->held_writer = writer;
  }

  void SetJobsInProgress(JobsInProgress jobs) {
    this->jobs_in_progress = std::move(jobs);
  }

  void SetOpenWorkPeers(OpenWorkPeers peers) {
    this->open_work_source = std::move(peers);
  }

  /// Marks that a task or job is opened with the process at `address`. If the
  /// two exchange heartbeats at the long interval, sends one that announces the
  /// short one, so that the receiver has it before the task or job.
  void BeginOpenWork(const std::string& address);

  /// Returns whether tasks or jobs are open with the process at `address`, as
  /// of the last tick or BeginOpenWork().
  bool HasOpenWorkWith(const std::string& address) const {
    return this->open_work_peers.contains(address);
  }

  /// Returns whether heartbeats of this process report jobs in progress.
  bool ReportsJobs() const { return !this->reported_jobs.IsEmpty(); }

  /// Sends the heartbeats that are due. Must be called every kTick.
  void Tick();
  static constexpr base::Duration kTick = std::chrono::milliseconds(200);

  /// Sends a heartbeat to every known process immediately.
  void SendToAll();

  /// Sends a heartbeat to one process immediately.
  void SendNow(const std::string& address);

  /// Schedules an update about changed endpoints to the members that receive
  /// all of them.
  void MarkHeldChanged();

  /// Sends an update to the coordinators whose endpoints this process uses when
  /// tasks of this process are waiting, at a limited rate.
  void SendTasksWaiting();

  /// Returns how long a member that announced `interval` may be silent before
  /// it counts as lost.
  static base::Duration HeartbeatTimeout(base::Duration interval);

 private:
  base::Duration IntervalTo(const ClusterBoard::Member& member) const;
  Detail DetailFor(const ClusterBoard::Member& member) const;
  void SendTo(const std::string& address, ClusterBoard::Member& member,
              Detail detail);
  void RefreshWork();
  void WriteJobs(const ClusterBoard::Member& receiver,
                 wire::MemberHeartbeat& heartbeat) const;
  JobRuns JobsOfSilentMembers() const;
  void SendUpdate(bool announce_waiting);
  bool IsUpdateTarget(const ClusterBoard::Member& member) const;
  bool IsOwnDomainEvacuated() const;

  base::Clock& clock;
  ClusterBoard& board;
  Hooks hooks;
  HeldEndpointWriter held_writer;
  JobsInProgress jobs_in_progress;
  OpenWorkPeers open_work_source;
  /// Jobs that the heartbeats of the present tick report.
  ReportedJobs reported_jobs;
  /// Peer addresses of the processes with open tasks or jobs.
  std::set<std::string> open_work_peers;
  base::Timer update_timer;
  /// Whether the scheduled update uses the short delay.
  bool update_urgent = false;
  base::TimePoint last_waiting_update;
  std::uint64_t ticks = 0;
};

}  // namespace hawthornwheel::cluster
