#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/timer.h"
#include "cluster/heartbeat_sender.h"
#include "runs/endpoint_session.h"

namespace hawthornwheel::catalog {
class CatalogController;
}
namespace hawthornwheel::cluster {
class ClusterController;
}
namespace hawthornwheel::runs {

/// The endpoints that this process holds. It claims those that it should own
/// and that nobody else holds, and lets go of the others once their runs have
/// ended.
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

  /// Called when there may be more room than before.
  void SetListener(std::function<void()> listener);

  /// Starts a task at the endpoint that the order names; returns false, having
  /// done nothing, when it is not held, not open, or has no room.
  bool StartTask(const TaskOrder& order, RunHandlers handlers);

  /// Stops a run; its handler is called when it has ended.
  void StopTask(const std::string& endpoint, const std::string& task,
                std::uint64_t run);

  const std::map<std::string, std::unique_ptr<EndpointSession>>& Sessions()
      const {
    return this->sessions;
  }

  /// Claims and lets go; runs by itself after changes of its inputs.
  void Reconcile();

 private:
  bool ShouldHold(const catalog::EndpointEntry& entry) const;
  void ClaimEndpoints();
  void ReleaseEndpoints();
  void WriteHeld(wire::MemberHeartbeat& heartbeat,
                 cluster::HeartbeatSender::Detail detail);
  void WriteChanged(wire::MemberHeartbeat& heartbeat);
  void WriteSummary(wire::MemberHeartbeat& heartbeat) const;
  void MarkChanged(const std::string& endpoint);

  Parts parts;
  FencingToken tokens;
  std::map<std::string, std::unique_ptr<EndpointSession>> sessions;
  /// When an endpoint that others hold may be claimed again.
  std::map<std::string, base::TimePoint> claim_backoff_until;
  std::map<std::string, std::uint64_t> last_fences;
  /// Endpoints whose room or state has changed since the domain was told.
  std::set<std::string> changed;
  std::function<void()> listener;
  base::Timer reconcile_timer;
};

}  // namespace hawthornwheel::runs
