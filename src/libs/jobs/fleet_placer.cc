#include "jobs/fleet_placer.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "catalog/catalog_controller.h"
#include "cluster/cluster_controller.h"
#include "jobs/task_name.h"
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

bool HasLabel(const std::vector<std::string>& labels,
              const std::string& label) {
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

void AddRuns(cluster::JobRuns& jobs, const std::vector<runs::RunKey>& runs) {
  for (const auto& [task, run] : runs) {
    cluster::AddRun(jobs, JobOfTask(task), run);
  }
}

}  // namespace

FleetPlacer::FleetPlacer(cluster::ClusterController& cluster,
                         runs::EndpointPool& pool, runs::RemoteRuns& remote,
                         const catalog::CatalogController& catalog)
    : cluster(cluster), pool(pool), remote(remote), catalog(catalog) {}

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
    candidate.pace = this->pool.Kinds().PaceOf(
        {session->Entry().service, &session->Entry().labels,
         session->Health().Pace(), session->Health().PaceRuns()});
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
      if (!held.open || this->IsEvacuated(id)) continue;
      Candidate& candidate = candidates.emplace_back();
      candidate.endpoint = id;
      candidate.service = held.service;
      candidate.holder = address;
      candidate.distance = distance;
      candidate.pace = this->pool.Kinds().PaceOf(
          {held.service, &held.labels, held.pace, held.pace_runs});
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

// Returns whether the catalog of this process shows the endpoint in an
// evacuated domain. An endpoint that it does not show is as its holder reports.
bool FleetPlacer::IsEvacuated(const std::string& endpoint) const {
  const catalog::Catalog& known = this->catalog.GetCatalog();
  if (known.evacuations.Domains().empty()) return false;
  const auto found = known.endpoints.find(endpoint);
  return found != known.endpoints.end() &&
         known.evacuations.Contains(found->second.entry.domain);
}

// Returns whether this process or one that it can place tasks at holds the
// endpoint, or may hold it. A member of another domain lists only some of its
// endpoints.
bool FleetPlacer::IsInReach(const catalog::EndpointEntry& entry) const {
  const cluster::ClusterBoard& board = this->cluster.Board();
  if (entry.domain == board.self.domain()) return true;
  if (this->pool.Sessions().contains(entry.id)) return true;
  return std::any_of(
      board.members.begin(), board.members.end(), [&entry](const auto& item) {
        const cluster::ClusterBoard::Member& member = item.second;
        if (!member.live || !member.is_coordinator) return false;
        if (!cluster::ClusterBoard::IsReceivedBy(member)) return false;
        return member.announce.domain() == entry.domain ||
               member.held.contains(entry.id);
      });
}

bool FleetPlacer::IsServed(const TaskRequirements& requirements) const {
  const catalog::Catalog& known = this->catalog.GetCatalog();
  if (known.evacuations.Domains().empty() || known.endpoints.empty()) {
    return true;
  }
  for (const auto& [id, endpoint] : known.endpoints) {
    const catalog::EndpointEntry& entry = endpoint.entry;
    const bool fits = entry.service == requirements.service &&
                      HasLabel(entry.labels, requirements.label) &&
                      requirements.resources.FitsInto(entry.capacity);
    if (!fits || entry.draining) continue;
    if (known.evacuations.Contains(entry.domain)) continue;
    if (this->IsInReach(entry)) return true;
  }
  // Peers may hold endpoints that the catalog of this process does not show.
  const std::vector<Candidate> candidates = this->Candidates();
  return std::any_of(candidates.begin(), candidates.end(),
                     [&requirements](const Candidate& candidate) {
                       return candidate.service == requirements.service &&
                              HasLabel(*candidate.labels, requirements.label);
                     });
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

void FleetPlacer::Stop(const PlacedRun& placed,
                       std::optional<base::TimePoint> end_by) {
  if (placed.placement != 0) {
    this->remote.Stop(placed.placement, end_by);
    return;
  }
  this->pool.StopTask(placed.endpoint, placed.task, placed.run, end_by);
}

cluster::JobRuns FleetPlacer::RunsOfOthers() const {
  cluster::JobRuns jobs = this->cluster.JobsInProgressElsewhere();
  for (const auto& [incarnation, runs] : this->remote.HostedRuns()) {
    AddRuns(jobs, runs);
  }
  AddRuns(jobs, this->pool.ForeignRuns());
  return jobs;
}

cluster::JobRuns FleetPlacer::OrphanedRuns() const {
  cluster::JobRuns jobs;
  AddRuns(jobs, this->remote.OrphanedRuns());
  AddRuns(jobs, this->pool.ForeignRuns());
  return jobs;
}

std::map<std::string, cluster::JobRuns> FleetPlacer::HostedRuns() const {
  std::map<std::string, cluster::JobRuns> jobs;
  for (const auto& [incarnation, runs] : this->remote.HostedRuns()) {
    AddRuns(jobs[incarnation], runs);
  }
  return jobs;
}

void FleetPlacer::SetTasksWaiting(bool waiting) {
  this->cluster.SetTasksWaiting(waiting);
}

bool FleetPlacer::TasksWait() const {
  const cluster::ClusterBoard& board = this->cluster.Board();
  return board.tasks_waiting ||
         std::any_of(board.members.begin(), board.members.end(),
                     [](const auto& item) {
                       return item.second.live && item.second.last.wanting();
                     });
}

}  // namespace hawthornwheel::jobs
