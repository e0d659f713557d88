#pragma once

#include <map>
#include <string>
#include <vector>

#include "jobs/placer.h"

namespace hawthornwheel::catalog {
class CatalogController;
struct EndpointEntry;
}  // namespace hawthornwheel::catalog
namespace hawthornwheel::cluster {
class ClusterController;
}
namespace hawthornwheel::runs {
class EndpointPool;
class RemoteRuns;
}  // namespace hawthornwheel::runs

namespace hawthornwheel::jobs {

/// Places tasks at the endpoints of this process and of the other live
/// processes, except those that are in evacuated failure domains by the catalog
/// of this process, whatever their holders report.
class FleetPlacer final : public Placer {
 public:
  /// References must outlive the placer.
  FleetPlacer(cluster::ClusterController& cluster, runs::EndpointPool& pool,
              runs::RemoteRuns& remote,
              const catalog::CatalogController& catalog);

  std::vector<Candidate> Candidates() const override;
  bool IsServed(const TaskRequirements& requirements) const override;
  bool Place(const Candidate& candidate, const runs::TaskOrder& order,
             runs::RunHandlers handlers, PlacedRun* placed) override;
  void Stop(const PlacedRun& placed,
            std::optional<base::TimePoint> end_by) override;
  cluster::JobRuns RunsOfOthers() const override;
  cluster::JobRuns OrphanedRuns() const override;
  std::map<std::string, cluster::JobRuns> HostedRuns() const override;
  void SetTasksWaiting(bool waiting) override;
  bool TasksWait() const override;

 private:
  void AddLocal(std::vector<Candidate>& candidates) const;
  void AddRemote(std::vector<Candidate>& candidates) const;
  bool IsEvacuated(const std::string& endpoint) const;
  bool IsInReach(const catalog::EndpointEntry& entry) const;

  cluster::ClusterController& cluster;
  runs::EndpointPool& pool;
  runs::RemoteRuns& remote;
  const catalog::CatalogController& catalog;
};

}  // namespace hawthornwheel::jobs
