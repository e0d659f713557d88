#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/timer.h"
#include "cluster/cluster_board.h"
#include "runs/run_map.h"
#include "runs/task_order.h"
#include "wire/peer.pb.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::cluster {
class ClusterController;
}

namespace hawthornwheel::runs {

class EndpointPool;

/// Places tasks at endpoints that other processes hold, and hosts tasks of
/// other processes at endpoints of this process. Refuses requests that were in
/// transit for too long, and stops runs whose process is lost.
class RemoteRuns {
 public:
  /// References must outlive the object.
  RemoteRuns(base::Clock& clock, base::Metrics& metrics,
             cluster::ClusterController& cluster, EndpointPool& pool);

  /// Sends a task to the live member at `address` and returns the number of the
  /// placement. The handler is called when the outcome is certain. When the
  /// member is not live any more, the task ends as lost.
  std::uint64_t Place(const std::string& address, const TaskOrder& order,
                      RunHandlers handlers);

  /// Stops a placed task, which must have ended by `end_by`; see
  /// EndpointSession::Stop().
  void Stop(std::uint64_t placement, std::optional<base::TimePoint> end_by);

  /// Processes an envelope. Returns false for one that is not about placements.
  bool Receive(const wire::Envelope& envelope);

  /// Returns the resources of the tasks that this process has placed at
  /// `endpoint` of `member` and that the last heartbeat of `member` does not
  /// include yet.
  catalog::Resources UnreportedResources(
      const cluster::ClusterBoard::Member& member,
      const std::string& endpoint) const;

  /// Returns whether `member` has refused a task for `endpoint` and no later
  /// heartbeat of `member` has arrived.
  bool IsRefused(const cluster::ClusterBoard::Member& member,
                 const std::string& endpoint) const;

  /// Checks for lost members and ends or stops the runs that depend on them.
  void CheckMembers();

  /// Returns the runs of other processes at endpoints of this process, by the
  /// incarnation of the process that placed them.
  std::map<std::string, std::vector<RunKey>> HostedRuns() const;

  /// Returns those of them that are being stopped since the process that placed
  /// them is lost.
  std::vector<RunKey> OrphanedRuns() const;

  /// Returns the peer addresses of the processes at which tasks of this process
  /// are placed, and of those whose tasks run here.
  std::set<std::string> PeersWithRuns() const;

  /// Returns the number of tasks of other processes that run here.
  std::size_t HostedTaskCount() const { return this->hosted.size(); }

 private:
  /// Describes a task of this process at an endpoint of another process.
  struct Placement {
    /// Peer address and incarnation of the process that holds the endpoint.
    std::string address;
    std::string incarnation;
    TaskOrder order;
    RunHandlers handlers;
    /// Estimated steady clock of the holder, in milliseconds, when the task was
    /// placed.
    std::uint64_t holder_steady_ms = 0;
    /// Set when the task is to be stopped. The stop is repeated until the end
    /// is reported.
    bool stopping = false;
    base::TimePoint stop_sent;
    /// Time by which the run must have ended when it is stopped; empty for
    /// none.
    std::optional<base::TimePoint> end_by;
    /// Time at which the holder was lost; empty while it is live.
    std::optional<base::TimePoint> lost_at;
  };
  /// Describes a task of another process at an endpoint of this process.
  struct Hosted {
    std::string endpoint;
    std::string task;
    std::uint64_t run = 0;
    /// Time before which its process does not count it as ended, and by which
    /// it must have ended if that process is not heard from again.
    base::TimePoint latest_end;
    /// Whether it is being stopped because its process is lost.
    bool orphaned = false;
  };
  /// Records the holder that refused a task, and its steady clock in
  /// milliseconds when it did.
  struct Refusal {
    std::string address;
    std::uint64_t steady_ms = 0;
  };
  /// Identifies a hosted task by the peer address and the incarnation of the
  /// process that placed it, and by the number of the placement there.
  using HostedKey = std::tuple<std::string, std::string, std::uint64_t>;

  /// Peer address and incarnation of a process.
  using ProcessKey = std::pair<std::string, std::string>;

  bool Withdraw(std::uint64_t id, const Placement& placement);
  void SendStop(std::uint64_t id, Placement& placement);
  void Flush();
  void ReceivePlace(const wire::Envelope& envelope);
  void StartHosted(const HostedKey& key, const wire::PlacedTask& task);
  void ReceiveReport(const wire::Envelope& envelope);
  void ReceiveStop(const wire::Envelope& envelope);
  wire::PlacementReport& PendingReport(const HostedKey& key);
  void Report(const HostedKey& key, RunOutcome outcome);
  void ReportOverdue(const HostedKey& key, base::Duration expected);
  void ScheduleFlush();
  void SendPending(std::map<ProcessKey, wire::Envelope> envelopes);
  void End(std::uint64_t placement, RunOutcome outcome);
  void CheckHolders();
  bool IsHolderLive(const Placement& placement) const;
  void LogEndByTime(const Placement& placement) const;
  void CheckOrigins();
  const char* CauseToStop(const HostedKey& key) const;
  base::TimePoint LatestEnd(const cluster::ClusterBoard::Member& origin) const;
  void DropSettled();

  base::Clock& clock;
  base::Metrics& metrics;
  cluster::ClusterController& cluster;
  EndpointPool& pool;
  std::uint64_t next_placement = 1;
  std::map<std::uint64_t, Placement> placements;
  std::map<HostedKey, Hosted> hosted;
  /// Placements of other processes that were decided on: refused, started, or
  /// stopped before they arrived. A request for them that arrives later is
  /// ignored. The values are own steady clock readings in milliseconds.
  std::map<HostedKey, std::uint64_t> settled;
  /// Placements without a reported end, by endpoint id.
  std::unordered_map<std::string, std::vector<std::uint64_t>>
      placements_by_endpoint;
  /// Latest refusal of a task, by endpoint id.
  std::unordered_map<std::string, Refusal> refusals;
  /// Envelopes to send at the next flush, by receiver.
  std::map<ProcessKey, wire::Envelope> pending_requests;
  std::map<ProcessKey, wire::Envelope> pending_reports;
  base::Timer flush_timer;
  base::Timer check_timer;
};

}  // namespace hawthornwheel::runs
