#pragma once

#include <vector>

#include "jobs/placer.h"

namespace hawthornwheel::cluster {
class ClusterController;
}
namespace hawthornwheel::runs {
class EndpointPool;
class RemoteRuns;
}  // namespace hawthornwheel::runs

namespace hawthornwheel::jobs {

/// Places tasks at the endpoints of this process and of the other live
/// processes.
class FleetPlacer final : public Placer {
 public:
  /// References must outlive the placer.
  FleetPlacer(cluster::ClusterController& cluster, runs::EndpointPool& pool,
              runs::RemoteRuns& remote);

  std::vector<Candidate> Candidates() const override;
  bool Place(const Candidate& candidate, const runs::TaskOrder& order,
             runs::RunHandlers handlers, PlacedRun* placed) override;
  void Stop(const PlacedRun& placed) override;
  void SetTasksWaiting(bool waiting) override;
  bool TasksWait() const override;

 private:
  void AddLocal(std::vector<Candidate>& candidates) const;
  void AddRemote(std::vector<Candidate>& candidates) const;

  cluster::ClusterController& cluster;
  runs::EndpointPool& pool;
  runs::RemoteRuns& remote;
};

}  // namespace hawthornwheel::jobs
