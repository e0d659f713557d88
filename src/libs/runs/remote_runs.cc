#include "runs/remote_runs.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/logger.h"
#include "base/metrics.h"
#include "cluster/cluster_controller.h"
#include "runs/endpoint_pool.h"
#include "runs/resend_time.h"

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
// Time after the loss of a process by which its runs have ended, unless the
// process is live again. If it is dead, the leases at its endpoints end one
// second after its last order. If it still runs, it gets the stop, or it stops
// the runs by itself: its latest heartbeat that this process can have confirmed
// was sent HeartbeatTimeout() before the loss, and it acts kStopReserve before
// the end of this time. It renews no lease beyond kLostRunsEnd.
constexpr base::Duration kLostRunsTimeout = milliseconds(1'200);
// The rest of that time covers messages and timers that are late.
constexpr base::Duration kLostRunsEnd = kLostRunsTimeout - milliseconds(100);
constexpr base::Duration kCheckInterval = milliseconds(100);
// Part of that time which is left to find and to stop the runs. Three stop
// orders may be lost before the leases end the run: kCheckInterval, three
// retries after 150 ms each and 50 ms for the stop fit, and 100 ms in which the
// process may be late. The other 500 ms exceed the age of a confirmation
// between processes that receive each other, which is two heartbeat intervals
// and the transit times.
constexpr base::Duration kStopReserve = milliseconds(700);
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
    placement.lost_at = this->clock.Now() - kLostRunsTimeout;
    return id;
  }
  this->cluster.BeginOpenWork(address);
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

void RemoteRuns::Stop(std::uint64_t placement,
                      std::optional<base::TimePoint> end_by) {
  const auto found = this->placements.find(placement);
  if (found == this->placements.end()) return;
  if (this->Withdraw(placement, found->second)) {
    this->End(placement, RunOutcome::kNotRun);
    return;
  }
  found->second.stopping = true;
  if (end_by) found->second.end_by = end_by;
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
  wire::StopPlacements& stop = *envelope.mutable_stop_placements();
  stop.add_placements(id);
  if (placement.end_by) {
    stop.set_end_by_steady_ms(
        this->cluster.SteadyMsAt(placement.address, *placement.end_by));
  }
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
  handlers.latest_end = [this, key] {
    const auto found = this->hosted.find(key);
    return found == this->hosted.end()
               ? std::optional<base::TimePoint>()
               : std::optional(found->second.latest_end);
  };
  if (!this->pool.StartTask(order, std::move(handlers))) {
    this->metrics.Count("remote.no_room");
    this->Report(key, RunOutcome::kNotRun);
    return;
  }
  const cluster::ClusterBoard::Member& origin =
      *this->cluster.Board().FindLive(std::get<0>(key));
  this->hosted[key] = {order.endpoint, order.task, order.run,
                       this->LatestEnd(origin)};
  this->cluster.BeginOpenWork(std::get<0>(key));
  this->metrics.Count("remote.hosted");
}

std::map<std::string, std::vector<RunKey>> RemoteRuns::HostedRuns() const {
  std::map<std::string, std::vector<RunKey>> runs;
  for (const auto& [key, run] : this->hosted) {
    runs[std::get<1>(key)].emplace_back(run.task, run.run);
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

std::set<std::string> RemoteRuns::PeersWithRuns() const {
  std::set<std::string> peers;
  for (const auto& [id, placement] : this->placements) {
    peers.insert(placement.address);
  }
  for (const auto& [key, run] : this->hosted) peers.insert(std::get<0>(key));
  return peers;
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
  auto end_by = this->cluster.TimeOfSteadyMs(
      envelope.stop_placements().end_by_steady_ms());
  // The sender's estimate is too late after a pause that stopped this clock.
  if (end_by) end_by = std::min(*end_by, this->clock.Now() + kRunEndLimit);
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
    this->pool.StopTask(run.endpoint, run.task, run.run, end_by);
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

// Stops the runs of lost holders and ends those that have ended by now. A
// holder that is live again as the same process reports the end of its runs,
// however long it takes to stop them.
void RemoteRuns::CheckHolders() {
  const base::TimePoint now = this->clock.Now();
  std::vector<std::uint64_t> ended;
  for (auto& [id, placement] : this->placements) {
    // A connection reset may have lost the stop.
    const bool retry_stop =
        placement.stopping && now - placement.stop_sent >= kStopRetry;
    if (retry_stop) this->SendStop(id, placement);
    if (this->IsHolderLive(placement)) {
      placement.lost_at.reset();
      continue;
    }
    if (!placement.lost_at) {
      placement.lost_at = now;
      // The holder may still run and receive messages; without a stop it would
      // continue the task.
      placement.stopping = true;
      const base::TimePoint end_by = now + kLostRunsEnd;
      placement.end_by =
          placement.end_by ? std::min(*placement.end_by, end_by) : end_by;
      this->SendStop(id, placement);
    }
    if (now - *placement.lost_at < kLostRunsTimeout) continue;
    this->LogEndByTime(placement);
    ended.push_back(id);
  }
  for (const std::uint64_t id : ended) this->End(id, RunOutcome::kLost);
}

bool RemoteRuns::IsHolderLive(const Placement& placement) const {
  const cluster::ClusterBoard::Member* member =
      this->cluster.Board().FindLive(placement.address);
  return member != nullptr &&
         member->announce.incarnation() == placement.incarnation;
}

// Logs a placement that ends without a report. A live holder is another
// incarnation than the one that has the run.
void RemoteRuns::LogEndByTime(const Placement& placement) const {
  const auto& members = this->cluster.Board().members;
  const auto holder = members.find(placement.address);
  const bool known = holder != members.end();
  const base::Duration silence =
      known ? this->clock.Now() - holder->second.last_heard : base::Duration{0};
  this->metrics.Count("remote.ended_by_time");
  kLog.Warning(
      "Placement at a lost holder counts as ended. task={} run={} endpoint={} "
      "holder={} incarnation={} known={} silent_ms={} live={}",
      placement.order.task, placement.order.run, placement.order.endpoint,
      placement.address, placement.incarnation, known,
      silence / milliseconds(1), known && holder->second.live);
}

void RemoteRuns::CheckOrigins() {
  // A stop may end a run at once, which removes it from `hosted`.
  std::vector<Hosted> orphans;
  for (auto& [key, run] : this->hosted) {
    const char* cause = this->CauseToStop(key);
    if (cause == nullptr) {
      run.latest_end =
          this->LatestEnd(*this->cluster.Board().FindLive(std::get<0>(key)));
      continue;
    }
    orphans.push_back(run);
    if (std::exchange(run.orphaned, true)) continue;
    const cluster::ClusterBoard::Member* origin =
        this->cluster.Board().FindLive(std::get<0>(key));
    kLog.Info(
        "Run of a lost process is stopped. endpoint={} task={} run={} "
        "origin={} cause=\"{}\" unconfirmed_ms={}",
        run.endpoint, run.task, run.run, std::get<0>(key), cause,
        origin == nullptr
            ? 0
            : this->cluster.TimeSinceConfirmed(*origin) / milliseconds(1));
  }
  for (const Hosted& run : orphans) {
    this->pool.StopTask(run.endpoint, run.task, run.run, run.latest_end);
  }
}

// Returns why a hosted run has to be stopped, or null while it may go on. A
// process may have counted its tasks here as lost by the time they are stopped
// when it has confirmed no heartbeat for that long. Its own heartbeats may
// arrive, but may have been sent long ago.
const char* RemoteRuns::CauseToStop(const HostedKey& key) const {
  const cluster::ClusterBoard::Member* origin =
      this->cluster.Board().FindLive(std::get<0>(key));
  if (origin == nullptr) return "its process is lost";
  if (origin->announce.incarnation() != std::get<1>(key)) {
    return "its process has restarted";
  }
  const base::Duration limit =
      cluster::HeartbeatSender::HeartbeatTimeout(origin->reported_interval) +
      kLostRunsTimeout - kStopReserve;
  if (this->cluster.TimeSinceConfirmed(*origin) < limit) return nullptr;
  return "its process confirms no heartbeats";
}

// Returns the time by which the runs of a process must have ended if it
// confirms no further heartbeat: before it counts them as ended.
base::TimePoint RemoteRuns::LatestEnd(
    const cluster::ClusterBoard::Member& origin) const {
  return this->clock.Now() - this->cluster.TimeSinceConfirmed(origin) +
         cluster::HeartbeatSender::HeartbeatTimeout(origin.reported_interval) +
         kLostRunsEnd;
}

// Forgets decisions on requests that would be refused as late by now.
void RemoteRuns::DropSettled() {
  const std::uint64_t now = this->cluster.OwnSteadyMs();
  std::erase_if(this->settled, [now](const auto& item) {
    return now > item.second + kSettledMemoryMs;
  });
}

}  // namespace hawthornwheel::runs
