#include "runs/remote_runs.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/logger.h"
#include "base/metrics.h"
#include "cluster/cluster_controller.h"
#include "runs/endpoint_pool.h"

namespace hawthornwheel::runs {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("remote");

// Requests older than this are refused. A request that a partition has delayed
// must not start a task that its process has already given up.
constexpr std::uint64_t kMaxPlaceAgeMs = 250;
// Time for which the decision on a placement is kept. Its request was sent
// before, so it is refused as late from then on.
constexpr std::uint64_t kSettledMemoryMs = 2 * kMaxPlaceAgeMs;
// Heartbeats sent within this time after a request may not yet include its
// task.
constexpr std::uint64_t kHeartbeatSlackMs = 4;
// Time after the loss of a process by which its runs have ended. If it is dead,
// the leases at its endpoints end one second after its last order. If it still
// runs, it gets the stop, or it misses the heartbeats of this process: then it
// counts this process as lost after at most 800 ms, finds that within another
// 200 ms, and stops the runs.
constexpr base::Duration kLostRunsTimeout = milliseconds(1'200);
constexpr base::Duration kCheckInterval = milliseconds(100);
// Part of that time which is left to find and to stop the runs.
constexpr base::Duration kStopReserve = milliseconds(200);
// Interval at which a stop is sent again until the end is reported.
constexpr base::Duration kStopRetry = milliseconds(150);

}  // namespace

RemoteRuns::RemoteRuns(base::Clock& clock, base::Metrics& metrics,
                       cluster::ClusterController& cluster, EndpointPool& pool)
    : clock(clock),
      metrics(metrics),
      cluster(cluster),
      pool(pool),
      flush_timer(clock),
      check_timer(clock) {
  this->check_timer.StartPeriodic(kCheckInterval,
                                  [this] { this->CheckMembers(); });
}

std::uint64_t RemoteRuns::Place(const std::string& address,
                                const TaskOrder& order, RunHandlers handlers) {
  const std::uint64_t id = this->next_placement++;
  const cluster::ClusterBoard::Member* member =
      this->cluster.Board().FindLive(address);
  this->placements_by_endpoint[order.endpoint].push_back(id);
  Placement& placement = this->placements[id];
  placement.address = address;
  placement.order = order;
  placement.handlers = std::move(handlers);
  if (member == nullptr) {
    placement.holder_lost = true;
    placement.lost_at = this->clock.Now() - kLostRunsTimeout;
    return id;
  }
  placement.incarnation = member->announce.incarnation();
  placement.holder_steady_ms = this->cluster.SteadyMsOf(*member);
  wire::PlaceRequest& request =
      *this->pending_requests[{address, placement.incarnation}].mutable_place();
  request.set_receiver_steady_ms(placement.holder_steady_ms);
  wire::PlacedTask& task = *request.add_tasks();
  task.set_placement(id);
  task.set_task(order.task);
  task.set_run(order.run);
  task.set_endpoint(order.endpoint);
  task.set_incarnation_start_ms(order.incarnation_start_ms);
  task.set_payload(order.payload);
  task.set_cpu_milli(static_cast<std::uint32_t>(order.resources.cpu_milli));
  task.set_memory_mb(static_cast<std::uint32_t>(order.resources.memory_mb));
  task.set_accelerators(
      static_cast<std::uint32_t>(order.resources.accelerators));
  task.set_estimate_ms(
      static_cast<std::uint32_t>(order.estimate / milliseconds(1)));
  task.set_time_left_ms(
      static_cast<std::uint32_t>(order.time_left / milliseconds(1)));
  this->metrics.Count("remote.placed");
  this->ScheduleFlush();
  return id;
}

void RemoteRuns::Flush() {
  for (auto& [receiver, envelope] : this->pending_reports) {
    envelope.mutable_placement_report()->set_steady_ms(
        this->cluster.OwnSteadyMs());
  }
  this->SendPending(std::exchange(this->pending_requests, {}));
  this->SendPending(std::exchange(this->pending_reports, {}));
}

void RemoteRuns::SendPending(std::map<ProcessKey, wire::Envelope> envelopes) {
  for (auto& [receiver, envelope] : envelopes) {
    // The numbers of placements start again with each incarnation.
    envelope.set_recipient(receiver.second);
    this->cluster.Send(receiver.first, std::move(envelope));
  }
}

void RemoteRuns::Stop(std::uint64_t placement) {
  const auto found = this->placements.find(placement);
  if (found == this->placements.end()) return;
  if (this->Withdraw(placement, found->second)) {
    this->End(placement, RunOutcome::kNotRun);
    return;
  }
  found->second.stopping = true;
  this->SendStop(placement, found->second);
}

// Removes a placement from the request that is sent at the next flush. A stop
// would overtake it, and the task would run on with nobody waiting for it.
// Returns false when the request was sent.
bool RemoteRuns::Withdraw(std::uint64_t id, const Placement& placement) {
  const auto pending =
      this->pending_requests.find({placement.address, placement.incarnation});
  if (pending == this->pending_requests.end()) return false;
  auto& tasks = *pending->second.mutable_place()->mutable_tasks();
  const auto task = std::find_if(
      tasks.begin(), tasks.end(),
      [id](const wire::PlacedTask& item) { return item.placement() == id; });
  if (task == tasks.end()) return false;
  tasks.erase(task);
  if (tasks.empty()) this->pending_requests.erase(pending);
  return true;
}

void RemoteRuns::SendStop(std::uint64_t id, Placement& placement) {
  placement.stop_sent = this->clock.Now();
  wire::Envelope envelope;
  envelope.mutable_stop_placements()->add_placements(id);
  this->cluster.Send(placement.address, std::move(envelope));
}

catalog::Resources RemoteRuns::UnreportedResources(
    const cluster::ClusterBoard::Member& member,
    const std::string& endpoint) const {
  catalog::Resources unreported;
  const auto open = this->placements_by_endpoint.find(endpoint);
  if (open == this->placements_by_endpoint.end()) return unreported;
  for (const std::uint64_t id : open->second) {
    const Placement& placement = this->placements.at(id);
    if (placement.address != member.announce.peer_address()) continue;
    if (member.last.steady_ms() <=
        placement.holder_steady_ms + kHeartbeatSlackMs) {
      unreported += placement.order.resources;
    }
  }
  return unreported;
}

bool RemoteRuns::IsRefused(const cluster::ClusterBoard::Member& member,
                           const std::string& endpoint) const {
  const auto refusal = this->refusals.find(endpoint);
  if (refusal == this->refusals.end()) return false;
  return refusal->second.address == member.announce.peer_address() &&
         member.last.steady_ms() <= refusal->second.steady_ms;
}

bool RemoteRuns::Receive(const wire::Envelope& envelope) {
  switch (envelope.body_case()) {
    case wire::Envelope::kPlace:
      this->ReceivePlace(envelope);
      return true;
    case wire::Envelope::kPlacementReport:
      this->ReceiveReport(envelope);
      return true;
    case wire::Envelope::kStopPlacements:
      this->ReceiveStop(envelope);
      return true;
    default:
      return false;
  }
}

void RemoteRuns::ReceivePlace(const wire::Envelope& envelope) {
  const wire::PlaceRequest& request = envelope.place();
  const std::string& address = envelope.sender_address();
  const cluster::ClusterBoard::Member* origin =
      this->cluster.Board().FindLive(address);
  const std::uint64_t now = this->cluster.OwnSteadyMs();
  const bool late = now > request.receiver_steady_ms() + kMaxPlaceAgeMs;
  const bool unknown =
      origin == nullptr || origin->announce.incarnation() != envelope.sender();
  if (late || unknown) {
    kLog.Info("Placement is refused. from={} tasks={} age_ms={} known={}",
              address, request.tasks_size(), now - request.receiver_steady_ms(),
              !unknown);
  }
  for (const wire::PlacedTask& task : request.tasks()) {
    const HostedKey key{address, envelope.sender(), task.placement()};
    // A second copy, or the task was stopped before it arrived. Its process was
    // told then, and an answer to a copy would count for the first request.
    if (this->hosted.contains(key) ||
        !this->settled.try_emplace(key, now).second) {
      this->metrics.Count("remote.settled_placements");
      continue;
    }
    if (late || unknown) {
      this->Report(key, RunOutcome::kNotRun);
    } else {
      this->StartHosted(key, task);
    }
  }
}

void RemoteRuns::StartHosted(const HostedKey& key,
                             const wire::PlacedTask& task) {
  TaskOrder order;
  order.task = task.task();
  order.run = task.run();
  order.endpoint = task.endpoint();
  order.incarnation_start_ms = task.incarnation_start_ms();
  order.payload = task.payload();
  order.resources = {task.cpu_milli(), task.memory_mb(), task.accelerators()};
  order.estimate = milliseconds(task.estimate_ms());
  order.time_left = milliseconds(task.time_left_ms());
  RunHandlers handlers;
  handlers.on_end = [this, key](RunOutcome outcome) {
    this->hosted.erase(key);
    this->Report(key, outcome);
  };
  handlers.on_overdue = [this, key](base::Duration expected) {
    this->ReportOverdue(key, expected);
  };
  if (!this->pool.StartTask(order, std::move(handlers))) {
    this->metrics.Count("remote.no_room");
    this->Report(key, RunOutcome::kNotRun);
    return;
  }
  this->hosted[key] = {order.endpoint, order.task, order.run};
  this->metrics.Count("remote.hosted");
}

std::vector<RunKey> RemoteRuns::HostedRuns() const {
  std::vector<RunKey> runs;
  for (const auto& [key, run] : this->hosted) {
    runs.emplace_back(run.task, run.run);
  }
  return runs;
}

std::vector<RunKey> RemoteRuns::OrphanedRuns() const {
  std::vector<RunKey> runs;
  for (const auto& [key, run] : this->hosted) {
    if (run.orphaned) runs.emplace_back(run.task, run.run);
  }
  return runs;
}

wire::PlacementReport& RemoteRuns::PendingReport(const HostedKey& key) {
  const auto& [address, incarnation, placement] = key;
  this->ScheduleFlush();
  return *this->pending_reports[{address, incarnation}]
              .mutable_placement_report();
}

void RemoteRuns::Report(const HostedKey& key, RunOutcome outcome) {
  wire::PlacementEnd& end = *this->PendingReport(key).add_ends();
  end.set_placement(std::get<2>(key));
  end.set_outcome(static_cast<std::uint32_t>(outcome));
}

void RemoteRuns::ReportOverdue(const HostedKey& key, base::Duration expected) {
  wire::PlacementOverdue& overdue = *this->PendingReport(key).add_overdue();
  overdue.set_placement(std::get<2>(key));
  overdue.set_expected_ms(
      static_cast<std::uint32_t>(expected / milliseconds(1)));
}

void RemoteRuns::ScheduleFlush() {
  if (this->flush_timer.IsActive()) return;
  this->flush_timer.StartOnce(base::Duration{0}, [this] { this->Flush(); });
}

void RemoteRuns::ReceiveReport(const wire::Envelope& envelope) {
  for (const wire::PlacementEnd& end : envelope.placement_report().ends()) {
    const auto found = this->placements.find(end.placement());
    if (found == this->placements.end()) continue;
    if (found->second.incarnation != envelope.sender()) continue;
    const auto outcome = static_cast<RunOutcome>(end.outcome());
    if (outcome == RunOutcome::kNotRun || outcome == RunOutcome::kUnconfirmed) {
      this->refusals[found->second.order.endpoint] = {
          found->second.address, envelope.placement_report().steady_ms()};
    }
    this->End(end.placement(), outcome);
  }
  for (const wire::PlacementOverdue& overdue :
       envelope.placement_report().overdue()) {
    const auto found = this->placements.find(overdue.placement());
    if (found == this->placements.end()) continue;
    if (found->second.incarnation != envelope.sender()) continue;
    const auto on_overdue = found->second.handlers.on_overdue;
    if (on_overdue) on_overdue(milliseconds(overdue.expected_ms()));
  }
}

void RemoteRuns::ReceiveStop(const wire::Envelope& envelope) {
  for (const std::uint64_t placement :
       envelope.stop_placements().placements()) {
    const HostedKey key{envelope.sender_address(), envelope.sender(),
                        placement};
    const auto found = this->hosted.find(key);
    if (found == this->hosted.end()) {
      // The report of its end was lost, or the task has not arrived. It may
      // still do so when the connection was reset.
      this->settled[key] = this->cluster.OwnSteadyMs();
      this->Report(key, RunOutcome::kLost);
      continue;
    }
    const Hosted run = found->second;
    this->pool.StopTask(run.endpoint, run.task, run.run);
  }
}

void RemoteRuns::End(std::uint64_t placement, RunOutcome outcome) {
  const auto found = this->placements.find(placement);
  if (found == this->placements.end()) return;
  const auto on_end = std::move(found->second.handlers.on_end);
  const auto open =
      this->placements_by_endpoint.find(found->second.order.endpoint);
  std::erase(open->second, placement);
  if (open->second.empty()) this->placements_by_endpoint.erase(open);
  this->placements.erase(found);
  on_end(outcome);
}

void RemoteRuns::CheckMembers() {
  this->CheckHolders();
  this->CheckOrigins();
  this->DropSettled();
}

void RemoteRuns::CheckHolders() {
  const base::TimePoint now = this->clock.Now();
  std::vector<std::uint64_t> ended;
  for (auto& [id, placement] : this->placements) {
    const cluster::ClusterBoard::Member* member =
        this->cluster.Board().FindLive(placement.address);
    const bool lost = member == nullptr ||
                      member->announce.incarnation() != placement.incarnation;
    // A connection reset may have lost the stop.
    const bool retry_stop =
        placement.stopping && now - placement.stop_sent >= kStopRetry;
    if (retry_stop) this->SendStop(id, placement);
    if (!lost && !placement.holder_lost) continue;
    if (!placement.holder_lost) {
      placement.holder_lost = true;
      placement.lost_at = now;
      // The holder may still run and receive messages; without a stop it would
      // continue the task.
      placement.stopping = true;
      this->SendStop(id, placement);
    }
    if (now - placement.lost_at >= kLostRunsTimeout) ended.push_back(id);
  }
  for (const std::uint64_t id : ended) this->End(id, RunOutcome::kLost);
}

void RemoteRuns::CheckOrigins() {
  std::vector<Hosted> orphans;
  for (auto& [key, run] : this->hosted) {
    const cluster::ClusterBoard::Member* origin =
        this->cluster.Board().FindLive(std::get<0>(key));
    if (origin == nullptr ||
        origin->announce.incarnation() != std::get<1>(key) ||
        this->HasGivenUp(*origin)) {
      run.orphaned = true;
      orphans.push_back(run);
    }
  }
  for (const Hosted& run : orphans) {
    kLog.Info("Run of a lost process is stopped. endpoint={} task={} run={}",
              run.endpoint, run.task, run.run);
    this->pool.StopTask(run.endpoint, run.task, run.run);
  }
}

// Returns whether a process that placed tasks here may have counted them as
// lost by the time they are stopped: it has confirmed no heartbeat for that
// long. Its own heartbeats may arrive, but may have been sent long ago.
bool RemoteRuns::HasGivenUp(const cluster::ClusterBoard::Member& origin) const {
  return this->cluster.TimeSinceConfirmed(origin) >=
         cluster::HeartbeatSender::HeartbeatTimeout(origin.reported_interval) +
             kLostRunsTimeout - kStopReserve;
}

// Forgets decisions on requests that would be refused as late by now.
void RemoteRuns::DropSettled() {
  const std::uint64_t now = this->cluster.OwnSteadyMs();
  std::erase_if(this->settled, [now](const auto& item) {
    return now > item.second + kSettledMemoryMs;
  });
}

}  // namespace hawthornwheel::runs
