#include "jobs/fleet_placer.h"

#include <functional>
#include <utility>

#include "cluster/cluster_controller.h"
#include "runs/endpoint_pool.h"
#include "runs/remote_runs.h"

namespace hawthornwheel::jobs {
namespace {

// Upper limit of the jitter cost, on the scale of the score in
// endpoint_choice.cc: the cost of messages to a process of the same domain.
constexpr double kMaxJitterCost = 0.05;
// Number of different jitter costs.
constexpr std::size_t kJitterSteps = 64;

double JitterCost(std::size_t process_hash, const std::string& endpoint) {
  const std::size_t hash = std::hash<std::string>()(endpoint) ^ process_hash;
  return kMaxJitterCost * static_cast<double>(hash % kJitterSteps) /
         kJitterSteps;
}

}  // namespace

FleetPlacer::FleetPlacer(cluster::ClusterController& cluster,
                         runs::EndpointPool& pool, runs::RemoteRuns& remote)
    : cluster(cluster), pool(pool), remote(remote) {}

std::vector<Candidate> FleetPlacer::Candidates() const {
  std::vector<Candidate> candidates;
  this->AddLocal(candidates);
  this->AddRemote(candidates);
  return candidates;
}

void FleetPlacer::AddLocal(std::vector<Candidate>& candidates) const {
  for (const auto& [id, session] : this->pool.Sessions()) {
    if (!session->IsOpen()) continue;
    Candidate& candidate = candidates.emplace_back();
    candidate.endpoint = id;
    candidate.service = session->Entry().service;
    candidate.free = session->Free();
    candidate.pace = session->Health().Pace();
    candidate.next_free = session->NextFree();
    candidate.labels = &session->Entry().labels;
    candidate.incarnation_start_ms = session->Entry().incarnation_start_ms;
  }
}

void FleetPlacer::AddRemote(std::vector<Candidate>& candidates) const {
  const cluster::ClusterBoard& board = this->cluster.Board();
  const std::size_t own_hash =
      std::hash<std::string>()(board.self.peer_address());
  for (const auto& [address, member] : board.members) {
    if (!member.live || !board.IsReceivedBy(member)) continue;
    const Distance distance = board.IsSameDomain(member)
                                  ? Distance::kSameDomain
                                  : Distance::kOtherDomain;
    for (const auto& [id, held] : member.held) {
      if (!held.open) continue;
      Candidate& candidate = candidates.emplace_back();
      candidate.endpoint = id;
      candidate.service = held.service;
      candidate.holder = address;
      candidate.distance = distance;
      candidate.pace = held.pace;
      candidate.next_free = held.next_free;
      candidate.labels = &held.labels;
      candidate.incarnation_start_ms = held.incarnation_start_ms;
      // Under load, most endpoints have no free capacity, and the look-ups
      // below would be most of the work.
      if (held.free.cpu_milli <= 0 || this->remote.IsRefused(member, id))
        continue;
      candidate.free = held.free;
      candidate.free -= this->remote.UnreportedResources(member, id);
      candidate.jitter_cost = JitterCost(own_hash, id);
    }
  }
}

bool FleetPlacer::Place(const Candidate& candidate,
                        const runs::TaskOrder& order,
                        runs::RunHandlers handlers, PlacedRun* placed) {
  *placed = {0, order.endpoint, order.task, order.run};
  if (candidate.holder.empty()) {
    return this->pool.StartTask(order, std::move(handlers));
  }
  placed->placement = this->remote.Place(std::string(candidate.holder), order,
                                         std::move(handlers));
  return true;
}

void FleetPlacer::Stop(const PlacedRun& placed) {
  if (placed.placement != 0) {
    this->remote.Stop(placed.placement);
    return;
  }
  this->pool.StopTask(placed.endpoint, placed.task, placed.run);
}

void FleetPlacer::SetTasksWaiting(bool waiting) {
  this->cluster.SetTasksWaiting(waiting);
}

}  // namespace hawthornwheel::jobs
