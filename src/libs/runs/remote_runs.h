#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/timer.h"
#include "cluster/cluster_board.h"
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

/// Runs tasks at endpoints that other processes hold, and tasks of others at
/// endpoints of this process. A request that was under way for long is
/// refused, and runs whose process is lost are stopped.
class RemoteRuns {
 public:
  /// References must outlive the object.
  RemoteRuns(base::Clock& clock, base::Metrics& metrics,
             cluster::ClusterController& cluster, EndpointPool& pool);

  /// Sends a task to the live member at `address`; the handler is called when
  /// its fate is certain.
  std::uint64_t Place(const std::string& address, const TaskOrder& order,
                      RunHandlers handlers);

  /// Stops a placed task.
  void Stop(std::uint64_t placement);

  /// Takes an envelope; returns false for one that is of no concern here.
  bool Receive(const wire::Envelope& envelope);

  /// What this process has placed at `endpoint` of `member` and that the
  /// member's last heartbeat does not show yet.
  catalog::Resources UnreportedResources(
      const cluster::ClusterBoard::Member& member,
      const std::string& endpoint) const;

  /// Whether `member` has refused a task for `endpoint` and has told no room
  /// there since.
  bool IsRefused(const cluster::ClusterBoard::Member& member,
                 const std::string& endpoint) const;

  /// Looks for members that were lost.
  void CheckMembers();

  /// Tasks of others that run here.
  std::size_t HostedCount() const { return this->hosted.size(); }

 private:
  /// A task of this process at another one.
  struct Placement {
    std::string address;
    std::string incarnation;
    TaskOrder order;
    RunHandlers handlers;
    std::uint64_t owner_steady_ms = 0;
    /// Set once it is to be stopped; the stop is sent until its end is told.
    bool stopping = false;
    base::TimePoint stop_sent;
    bool owner_lost = false;
    base::TimePoint lost_at;
  };
  /// A task of another process at this one.
  struct Hosted {
    std::string endpoint;
    std::string task;
    std::uint64_t run = 0;
  };
  /// A task was refused at the holder's steady clock.
  struct Refusal {
    std::string address;
    std::uint64_t steady_ms = 0;
  };
  /// Address, incarnation and placement number of the other process.
  using HostedKey = std::tuple<std::string, std::string, std::uint64_t>;

  void SendStop(std::uint64_t id, Placement& placement);
  void Flush();
  void ReceivePlace(const wire::Envelope& envelope);
  void ReceiveReport(const wire::Envelope& envelope);
  void ReceiveStop(const wire::Envelope& envelope);
  void Report(const std::string& address, std::uint64_t placement,
              RunOutcome outcome);
  void ReportOverdue(const std::string& address, std::uint64_t placement,
                     base::Duration expected);
  void ScheduleFlush();
  void End(std::uint64_t placement, RunOutcome outcome);
  void CheckOwners();
  void CheckOrigins();

  base::Clock& clock;
  base::Metrics& metrics;
  cluster::ClusterController& cluster;
  EndpointPool& pool;
  std::uint64_t next_placement = 1;
  std::map<std::uint64_t, Placement> placements;
  std::map<HostedKey, Hosted> hosted;
  /// Open placements by endpoint.
  std::unordered_map<std::string, std::vector<std::uint64_t>>
      placements_by_endpoint;
  /// Latest refusal of a task by endpoint.
  std::unordered_map<std::string, Refusal> refusals;
  std::map<std::string, wire::Envelope> pending_requests;
  std::map<std::string, wire::Envelope> pending_reports;
  base::Timer flush_timer;
  base::Timer check_timer;
};

}  // namespace hawthornwheel::runs
