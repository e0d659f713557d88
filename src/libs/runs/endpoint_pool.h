#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/timer.h"
#include "cluster/endpoint_owners.h"
#include "cluster/heartbeat_sender.h"
#include "runs/endpoint_session.h"
#include "runs/kind_paces.h"

namespace hawthornwheel::catalog {
class CatalogController;
}
namespace hawthornwheel::cluster {
class ClusterController;
}
namespace hawthornwheel::runs {

/// Holds the sessions of the endpoints that this process has claimed. Claims
/// the endpoints that it should own and that no other process holds, and
/// releases the others after their runs have ended. Endpoints of evacuated
/// domains are not claimed and take no tasks; their sessions stay, so that runs
/// in progress are followed.
class EndpointPool {
 public:
  struct Parts {
    base::Clock& clock;
    EndpointOrders& orders;
    base::Metrics& metrics;
    const RunSettings& settings;
    catalog::CatalogController& catalog;
    cluster::ClusterController& cluster;
  };

  /// `parts` must outlive the pool.
  explicit EndpointPool(const Parts& parts);
  ~EndpointPool();

  void Start();

  /// Sets the function that is called when capacity may have become free.
  void SetListener(std::function<void()> listener);

  /// Starts a task at the endpoint that the order names. Returns false without
  /// any effect when the endpoint is not held, does not accept tasks, or has
  /// too few free resources, and while a run of the task is open at an endpoint
  /// of this process: another process may have placed a copy of its job.
  bool StartTask(const TaskOrder& order, RunHandlers handlers);

  /// Stops a run; see EndpointSession::Stop().
  void StopTask(const std::string& endpoint, const std::string& task,
                std::uint64_t run, std::optional<base::TimePoint> end_by);

  /// Returns the runs at the endpoints of this process that an earlier holder
  /// started.
  std::vector<RunKey> ForeignRuns() const;

  /// Returns the sessions by endpoint id.
  const std::map<std::string, std::unique_ptr<EndpointSession>>& Sessions()
      const {
    return this->sessions;
  }

  /// Returns the paces of the kinds of endpoints.
  const KindPaces& Kinds() const { return this->kinds; }

  /// Claims and releases endpoints. Runs periodically after Start(), and is
  /// called when an input has changed.
  void Reconcile();

 private:
  bool ShouldHold(const catalog::EndpointEntry& entry);
  void ClaimEndpoints();
  void ReleaseEndpoints();
  void EvacuateSession(EndpointSession& session);
  void ReportEvacuations();
  bool IsEvacuated(const catalog::EndpointEntry& entry) const;
  void WriteHeld(wire::MemberHeartbeat& heartbeat,
                 cluster::HeartbeatSender::Detail detail);
  void WriteChanged(wire::MemberHeartbeat& heartbeat);
  void WriteSummary(wire::MemberHeartbeat& heartbeat) const;
  void MarkChanged(const std::string& endpoint);
  void UpdateKinds();
  void SetStartPace(const std::string& endpoint);

  Parts parts;
  cluster::EndpointOwners owners;
  FencingTokenGenerator tokens;
  std::map<std::string, std::unique_ptr<EndpointSession>> sessions;
  /// Tasks with a run whose end is not reported yet.
  std::unordered_set<std::string> open_tasks;
  /// Times from which endpoints that were fenced off may be claimed again, by
  /// endpoint id.
  std::map<std::string, base::TimePoint> claim_backoff_until;
  /// Fencing tokens of released sessions, by endpoint id. The next claim of the
  /// endpoint uses a higher token.
  std::map<std::string, std::uint64_t> last_fences;
  /// Revision of the evacuated domains at the last call of Reconcile().
  std::uint64_t evacuations_revision = 0;
  /// Endpoints whose free resources or state have changed since the last
  /// update to other processes.
  std::set<std::string> changed;
  KindPaces kinds;
  std::function<void()> listener;
  base::Timer reconcile_timer;
  base::Timer kinds_timer;
};

}  // namespace hawthornwheel::runs
