#include "runs/endpoint_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/logger.h"
#include "base/metrics.h"
#include "catalog/catalog_controller.h"
#include "cluster/cluster_controller.h"

namespace hawthornwheel::runs {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("pool");

constexpr base::Duration kReconcileInterval = milliseconds(200);
// Wait before an endpoint that was lost to a higher fencing token is claimed
// again. Without this wait, two processes that do not receive each other's
// heartbeats would take the endpoint from each other in turns.
constexpr base::Duration kFencedClaimBackoff = milliseconds(3'000);
// Interval at which the paces of the kinds of endpoints are computed. A
// placement pass, which may run for each job, only reads them.
constexpr base::Duration kKindsInterval = milliseconds(200);
constexpr double kPercent = 100;
// Maximum number of endpoints of this process's failure domain in a summary
// heartbeat: those with the most free CPU. Enough for the tasks that spill over
// from other domains between two heartbeats.
constexpr std::size_t kMaxSummaryEndpoints = 6;

// Returns the time until the next run is expected to end in milliseconds, at
// least 1; 0 if unknown.
std::uint32_t NextFreeMs(const EndpointSession& session, base::TimePoint now) {
  const auto next = session.NextFree();
  if (!next) return 0;
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>((*next - now) / milliseconds(1), 1));
}

void FillHeldEndpoint(const EndpointSession& session, base::TimePoint now,
                      wire::HeldEndpoint& held) {
  held.set_id(session.Entry().id);
  if (!session.IsOpen()) return;
  const catalog::Resources free = session.Free();
  held.set_open(true);
  held.set_service(session.Entry().service);
  held.set_incarnation_start_ms(session.Entry().incarnation_start_ms);
  held.set_free_cpu_milli(static_cast<std::uint32_t>(free.cpu_milli));
  held.set_free_memory_mb(static_cast<std::uint32_t>(free.memory_mb));
  held.set_free_accelerators(static_cast<std::uint32_t>(free.accelerators));
  held.set_pace_percent(
      static_cast<std::uint32_t>(session.Health().Pace() * kPercent));
  held.set_pace_runs(static_cast<std::uint32_t>(session.Health().PaceRuns()));
  held.set_next_free_ms(NextFreeMs(session, now));
  for (const std::string& label : session.Entry().labels) {
    held.add_labels(label);
  }
}

}  // namespace

EndpointPool::EndpointPool(const Parts& parts)
    : parts(parts),
      owners(parts.cluster.Board()),
      tokens(parts.cluster.Board().self.incarnation()),
      reconcile_timer(parts.clock),
      kinds_timer(parts.clock) {}

EndpointPool::~EndpointPool() = default;

void EndpointPool::Start() {
  this->parts.cluster.SetHeldEndpointWriter(
      [this](wire::MemberHeartbeat& heartbeat,
             cluster::HeartbeatSender::Detail detail) {
        this->WriteHeld(heartbeat, detail);
      });
  this->reconcile_timer.StartPeriodic(kReconcileInterval,
                                      [this] { this->Reconcile(); });
  this->kinds_timer.StartPeriodic(kKindsInterval,
                                  [this] { this->UpdateKinds(); });
}

void EndpointPool::SetListener(std::function<void()> new_listener) {
  this->listener = std::move(new_listener);
}

bool EndpointPool::StartTask(const TaskOrder& order, RunHandlers handlers) {
  const auto found = this->sessions.find(order.endpoint);
  if (found == this->sessions.end()) return false;
  if (this->IsEvacuated(found->second->Entry())) {
    this->parts.metrics.Count("runs.refused_evacuated");
    return false;
  }
  if (this->open_tasks.contains(order.task)) {
    this->parts.metrics.Count("runs.open_elsewhere");
    return false;
  }
  handlers.on_end = [this, task = order.task,
                     on_end = std::move(handlers.on_end)](RunOutcome outcome) {
    this->open_tasks.erase(task);
    on_end(outcome);
  };
  if (!found->second->Start(order, std::move(handlers))) return false;
  this->open_tasks.insert(order.task);
  this->MarkChanged(order.endpoint);
  return true;
}

void EndpointPool::StopTask(const std::string& endpoint,
                            const std::string& task, std::uint64_t run,
                            std::optional<base::TimePoint> end_by) {
  const auto found = this->sessions.find(endpoint);
  if (found != this->sessions.end()) found->second->Stop(task, run, end_by);
}

std::vector<RunKey> EndpointPool::ForeignRuns() const {
  std::vector<RunKey> foreign;
  for (const auto& [id, session] : this->sessions) {
    for (RunKey& key : runs::ForeignRuns(session->Runs())) {
      foreign.push_back(std::move(key));
    }
  }
  return foreign;
}

void EndpointPool::Reconcile() {
  this->ReleaseEndpoints();
  this->ClaimEndpoints();
  this->ReportEvacuations();
}

bool EndpointPool::IsEvacuated(const catalog::EndpointEntry& entry) const {
  return this->parts.catalog.GetCatalog().evacuations.Contains(entry.domain);
}

bool EndpointPool::ShouldHold(const catalog::EndpointEntry& entry) {
  return this->owners.OwnerOf(entry) ==
         this->parts.cluster.Board().self.peer_address();
}

void EndpointPool::ClaimEndpoints() {
  if (!this->parts.cluster.IsMembershipKnown()) return;
  const base::TimePoint now = this->parts.clock.Now();
  std::erase_if(this->claim_backoff_until,
                [now](const auto& item) { return item.second <= now; });
  const cluster::ClusterBoard& board = this->parts.cluster.Board();
  if (!board.is_coordinator) return;
  // A process that has just started must not start tasks in an evacuated domain
  // for a peer while it cannot know about the evacuation.
  if (!this->parts.catalog.GetCatalog().evacuations_known) return;
  for (const auto& [id, endpoint] :
       this->parts.catalog.GetCatalog().endpoints) {
    if (this->sessions.contains(id) || this->claim_backoff_until.contains(id))
      continue;
    if (endpoint.entry.draining || endpoint.missing) continue;
    if (this->IsEvacuated(endpoint.entry)) continue;
    const bool outside = endpoint.entry.domain != board.self.domain();
    if (outside && !this->parts.cluster.AreOtherDomainsKnown()) continue;
    if (!this->ShouldHold(endpoint.entry)) continue;
    if (this->owners.IsHeldByOther(endpoint.entry)) continue;
    const EndpointSession::Parts session_parts{
        this->parts.clock, this->parts.orders, this->parts.metrics,
        this->parts.settings, this->tokens};
    this->sessions[id] = std::make_unique<EndpointSession>(
        session_parts, endpoint.entry, this->last_fences[id],
        outside ? EndpointSession::ClaimMode::kAfterProbe
                : EndpointSession::ClaimMode::kAtOnce,
        [this, id = id] {
          this->SetStartPace(id);
          this->MarkChanged(id);
          if (this->listener) this->listener();
        });
    this->SetStartPace(id);
    kLog.Info("Endpoint is claimed. endpoint={} domain={} fence={} pace={:.2f}",
              id, endpoint.entry.domain, this->sessions[id]->Fence(),
              this->sessions[id]->Health().Pace());
  }
}

void EndpointPool::ReleaseEndpoints() {
  const auto& endpoints = this->parts.catalog.GetCatalog().endpoints;
  const base::TimePoint now = this->parts.clock.Now();
  std::vector<std::string> ended;
  for (auto& [id, session] : this->sessions) {
    const auto entry = endpoints.find(id);
    const bool listed = entry != endpoints.end();
    if (listed) session->UpdateEntry(entry->second.entry);
    const bool keep = listed && this->ShouldHold(entry->second.entry);
    if (this->IsEvacuated(session->Entry())) {
      this->EvacuateSession(*session);
    } else if (keep) {
      session->Reopen();
    } else {
      session->Close();
    }
    const bool fenced = session->State() == SessionState::kFencedOff;
    if ((!keep || fenced) && session->RunCount() == 0) ended.push_back(id);
    if (fenced) this->claim_backoff_until[id] = now + kFencedClaimBackoff;
  }
  for (const std::string& id : ended) {
    kLog.Info("Endpoint is released. endpoint={} fence={}", id,
              this->sessions[id]->Fence());
    this->last_fences[id] = this->sessions[id]->Fence();
    this->sessions.erase(id);
    this->MarkChanged(id);
  }
}

void EndpointPool::EvacuateSession(EndpointSession& session) {
  const std::size_t before = session.RunCount();
  session.Evacuate();
  const std::size_t refused = before - session.RunCount();
  if (refused == 0) return;
  this->parts.metrics.Count("runs.refused_evacuated", refused);
  kLog.Info(
      "Held starts are not sent, since their domain is evacuated. endpoint={} "
      "starts={}",
      session.Entry().id, refused);
}

// Tells the other processes, and the tasks that wait here, when the set of
// evacuated domains has changed.
void EndpointPool::ReportEvacuations() {
  const catalog::Evacuations& evacuations =
      this->parts.catalog.GetCatalog().evacuations;
  this->parts.metrics.Set("catalog.evacuated_domains",
                          evacuations.Domains().size());
  if (this->evacuations_revision == evacuations.Revision()) return;
  this->evacuations_revision = evacuations.Revision();
  for (const auto& [id, session] : this->sessions) this->MarkChanged(id);
  if (this->listener) this->listener();
}

void EndpointPool::WriteHeld(wire::MemberHeartbeat& heartbeat,
                             cluster::HeartbeatSender::Detail detail) {
  switch (detail) {
    case cluster::HeartbeatSender::Detail::kAll:
      for (const auto& [id, session] : this->sessions) {
        if (session->State() == SessionState::kFencedOff) continue;
        FillHeldEndpoint(*session, this->parts.clock.Now(),
                         *heartbeat.add_held());
      }
      return;
    case cluster::HeartbeatSender::Detail::kChanged:
      this->WriteChanged(heartbeat);
      return;
    case cluster::HeartbeatSender::Detail::kSummary:
      this->WriteSummary(heartbeat);
      return;
    case cluster::HeartbeatSender::Detail::kNone:
      return;
  }
}

void EndpointPool::WriteChanged(wire::MemberHeartbeat& heartbeat) {
  for (const std::string& id : this->changed) {
    const auto session = this->sessions.find(id);
    if (session == this->sessions.end() ||
        session->second->State() == SessionState::kFencedOff) {
      wire::HeldEndpoint& released = *heartbeat.add_held();
      released.set_id(id);
      released.set_released(true);
      continue;
    }
    FillHeldEndpoint(*session->second, this->parts.clock.Now(),
                     *heartbeat.add_held());
  }
  this->changed.clear();
}

void EndpointPool::WriteSummary(wire::MemberHeartbeat& heartbeat) const {
  const std::string& domain = this->parts.cluster.Board().self.domain();
  std::vector<std::pair<std::int64_t, const EndpointSession*>> with_capacity;
  for (const auto& [id, session] : this->sessions) {
    if (session->State() == SessionState::kFencedOff) continue;
    if (session->Entry().domain != domain) {
      FillHeldEndpoint(*session, this->parts.clock.Now(),
                       *heartbeat.add_held());
    } else if (session->IsOpen() && session->Free().cpu_milli > 0) {
      with_capacity.emplace_back(session->Free().cpu_milli, session.get());
    }
  }
  const std::size_t count =
      std::min(with_capacity.size(), kMaxSummaryEndpoints);
  std::partial_sort(with_capacity.begin(),
                    with_capacity.begin() + static_cast<std::ptrdiff_t>(count),
                    with_capacity.end(), [](const auto& a, const auto& b) {
                      return a.first > b.first;
                    });
  for (std::size_t i = 0; i < count; ++i) {
    FillHeldEndpoint(*with_capacity[i].second, this->parts.clock.Now(),
                     *heartbeat.add_held());
  }
}

void EndpointPool::MarkChanged(const std::string& endpoint) {
  this->changed.insert(endpoint);
  this->parts.cluster.MarkHeldChanged();
}

void EndpointPool::UpdateKinds() {
  std::vector<KindPaces::Report> reports;
  for (const auto& [id, session] : this->sessions) {
    reports.push_back({session->Entry().service, &session->Entry().labels,
                       session->Health().Pace(), session->Health().PaceRuns()});
  }
  for (const auto& [address, member] : this->parts.cluster.Board().members) {
    if (!member.live) continue;
    for (const auto& [id, held] : member.held) {
      if (!held.open) continue;
      reports.push_back(
          {held.service, &held.labels, held.pace, held.pace_runs});
    }
  }
  this->kinds.Update(reports);
  for (const auto& [id, session] : this->sessions) this->SetStartPace(id);
  this->kinds.Observe(this->parts.metrics);
}

// Sets the start value of a session's pace to the pace of the endpoint's kind.
void EndpointPool::SetStartPace(const std::string& endpoint) {
  const auto session = this->sessions.find(endpoint);
  if (session == this->sessions.end()) return;
  const catalog::EndpointEntry& entry = session->second->Entry();
  const auto pace = this->kinds.KindPace(entry.service, &entry.labels);
  if (pace) session->second->SetStartPace(*pace);
}

}  // namespace hawthornwheel::runs
