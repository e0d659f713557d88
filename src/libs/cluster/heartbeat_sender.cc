#include "cluster/heartbeat_sender.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hawthornwheel::cluster {
namespace {

using std::chrono::milliseconds;

// Interval between processes that place tasks or hand over jobs to each other,
// or have such open.
constexpr base::Duration kShortInterval = HeartbeatSender::kTick;
// Interval between entries of a domain, and to processes that are not live.
constexpr base::Duration kLongInterval = milliseconds(1'000);
// A member counts as lost after four missing heartbeats. A caller resubmits a
// job 1.3 s after it has lost the process that accepted the job. By then the
// runs of that process must have been stopped, so processes with open runs use
// kShortInterval whatever their roles are.
constexpr int kMaxSilentIntervals = 4;
// Silence after which a member may be lost: it has missed a heartbeat.
constexpr base::Duration kSilence = kShortInterval * 3 / 2;
// Number of ticks after which heartbeats to live members include the list of
// live peers again.
constexpr std::uint64_t kGossipTicks = 10;
// Changes of free resources are sent almost at once while tasks are waiting for
// them at another process, and with more delay otherwise. Without waiting
// tasks, the view of the receivers only needs to be good enough for a first
// placement.
constexpr base::Duration kUrgentUpdateDelay = milliseconds(8);
constexpr base::Duration kUpdateDelay = milliseconds(100);
// Minimum interval between two updates that announce waiting tasks.
constexpr base::Duration kMinWaitingInterval = milliseconds(50);

}  // namespace

HeartbeatSender::HeartbeatSender(base::Clock& clock, ClusterBoard& board,
                                 Hooks hooks)
    : clock(clock),
      board(board),
      hooks(std::move(hooks)),
      update_timer(clock),
      last_waiting_update(clock.Now()) {}

base::Duration HeartbeatSender::HeartbeatTimeout(base::Duration interval) {
  return std::max(interval, kShortInterval) * kMaxSilentIntervals;
}

base::Duration HeartbeatSender::IntervalTo(
    const ClusterBoard::Member& member) const {
  if (!member.live) return kLongInterval;
  if (this->HasOpenWorkWith(member.announce.peer_address())) {
    return kShortInterval;
  }
  // An entry that has been a coordinator reports the jobs of that time in time
  // for their copies.
  const bool frequent =
      this->board.IsSameDomain(member)
          ? this->board.is_coordinator || member.is_coordinator
          : (this->board.is_coordinator || this->ReportsJobs()) &&
                member.is_coordinator;
  return frequent ? kShortInterval : kLongInterval;
}

HeartbeatSender::Detail HeartbeatSender::DetailFor(
    const ClusterBoard::Member& member) const {
  if (this->IsUpdateTarget(member)) return Detail::kAll;
  return member.live && !member.is_coordinator ? Detail::kNone
                                               : Detail::kSummary;
}

bool HeartbeatSender::IsUpdateTarget(const ClusterBoard::Member& member) const {
  if (!member.live || !member.is_coordinator) return false;
  if (this->board.IsSameDomain(member)) return true;
  // A member of an evacuated domain chooses among the endpoints of all other
  // domains. If it knew only those of a summary, all such members would choose
  // the same few.
  return this->hooks.is_evacuated(member.announce.domain()) &&
         !this->IsOwnDomainEvacuated();
}

bool HeartbeatSender::IsOwnDomainEvacuated() const {
  return this->hooks.is_evacuated(this->board.self.domain());
}

void HeartbeatSender::Tick() {
  ++this->ticks;
  this->RefreshWork();
  const base::TimePoint now = this->clock.Now();
  for (auto& [address, member] : this->board.members) {
    if (member.unrelated) continue;
    const base::Duration interval = this->IntervalTo(member);
    // A tick may fire slightly early.
    const bool due = now - member.last_sent >= interval - kTick / 2;
    if (!due && interval == member.reported_interval) continue;
    this->SendTo(address, member, this->DetailFor(member));
  }
}

void HeartbeatSender::SendToAll() {
  this->RefreshWork();
  for (auto& [address, member] : this->board.members) {
    this->SendTo(address, member, this->DetailFor(member));
  }
}

void HeartbeatSender::SendNow(const std::string& address) {
  const auto member = this->board.members.find(address);
  if (member == this->board.members.end()) return;
  this->RefreshWork();
  this->SendTo(address, member->second, this->DetailFor(member->second));
}

void HeartbeatSender::BeginOpenWork(const std::string& address) {
  if (!this->open_work_peers.insert(address).second) return;
  const auto found = this->board.members.find(address);
  if (found == this->board.members.end()) return;
  ClusterBoard::Member& member = found->second;
  if (this->IntervalTo(member) >= member.reported_interval) return;
  this->SendTo(address, member, this->DetailFor(member));
}

void HeartbeatSender::SendTo(const std::string& address,
                             ClusterBoard::Member& member, Detail detail) {
  wire::Envelope envelope;
  wire::MemberHeartbeat& heartbeat = *envelope.mutable_member_heartbeat();
  this->hooks.fill_heartbeat(heartbeat);
  heartbeat.set_hears_receiver(member.live);
  if (member.live) {
    heartbeat.set_receiver_steady_ms(member.last.steady_ms());
    heartbeat.set_receiver_live_since_ms(member.live_since_steady_ms);
  }
  heartbeat.set_partial(detail == Detail::kChanged);
  member.reported_interval = this->IntervalTo(member);
  member.last_sent = this->clock.Now();
  heartbeat.set_interval_ms(
      static_cast<std::uint32_t>(member.reported_interval / milliseconds(1)));
  if (this->held_writer) this->held_writer(heartbeat, detail);
  this->WriteJobs(member, heartbeat);
  if (!member.live || this->ticks % kGossipTicks == 0) {
    for (const auto& [peer, other] : this->board.members) {
      if (other.live) heartbeat.add_peers(peer);
    }
  }
  this->hooks.send(address, std::move(envelope));
}

void HeartbeatSender::RefreshWork() {
  if (this->jobs_in_progress) this->reported_jobs = this->jobs_in_progress();
  if (this->open_work_source) this->open_work_peers = this->open_work_source();
}

void HeartbeatSender::WriteJobs(const ClusterBoard::Member& receiver,
                                wire::MemberHeartbeat& heartbeat) const {
  const auto write = [&heartbeat](const JobRuns& jobs) {
    for (const auto& [id, last_run] : jobs) {
      wire::JobInProgress& job = *heartbeat.add_jobs_in_progress();
      job.set_id(id);
      job.set_last_run(last_run);
    }
  };
  write(this->reported_jobs.to_all);
  for (const auto& [incarnation, jobs] : this->reported_jobs.hosted) {
    if (incarnation != receiver.announce.incarnation()) write(jobs);
  }
  // A process that has just started has no reports of those that were lost
  // before, and a copy of one of their jobs may reach it.
  const bool is_new =
      receiver.live &&
      this->clock.Now() - receiver.live_since <= kJobReportValidity;
  if (is_new) write(this->JobsOfSilentMembers());
}

JobRuns HeartbeatSender::JobsOfSilentMembers() const {
  const base::TimePoint now = this->clock.Now();
  JobRuns jobs;
  for (const auto& [address, member] : this->board.members) {
    if (member.live && now - member.last_heard < kSilence) continue;
    ClusterBoard::AddReportedJobs(member, now, jobs);
  }
  return jobs;
}

void HeartbeatSender::MarkHeldChanged() {
  const bool peer_waits = std::any_of(
      this->board.members.begin(), this->board.members.end(),
      [this](const auto& item) {
        return this->IsUpdateTarget(item.second) && item.second.last.wanting();
      });
  if (this->update_timer.IsActive() && (this->update_urgent || !peer_waits)) {
    return;
  }
  this->update_urgent = peer_waits;
  this->update_timer.StartOnce(peer_waits ? kUrgentUpdateDelay : kUpdateDelay,
                               [this] { this->SendUpdate(false); });
}

// With `announce_waiting`, the update also goes to the members that free the
// capacity which this process waits for, although they do not use its own.
void HeartbeatSender::SendUpdate(bool announce_waiting) {
  const bool to_all_coordinators =
      announce_waiting && this->IsOwnDomainEvacuated();
  wire::Envelope envelope;
  wire::MemberHeartbeat& heartbeat = *envelope.mutable_member_heartbeat();
  this->hooks.fill_heartbeat(heartbeat);
  heartbeat.set_partial(true);
  heartbeat.set_hears_receiver(true);
  heartbeat.set_interval_ms(
      static_cast<std::uint32_t>(kShortInterval / milliseconds(1)));
  if (this->held_writer) this->held_writer(heartbeat, Detail::kChanged);
  for (const auto& [address, member] : this->board.members) {
    const bool is_target = to_all_coordinators
                               ? member.live && member.is_coordinator
                               : this->IsUpdateTarget(member);
    if (is_target) this->hooks.send(address, envelope);
  }
}

void HeartbeatSender::SendTasksWaiting() {
  const base::TimePoint now = this->clock.Now();
  if (!this->board.tasks_waiting ||
      now - this->last_waiting_update < kMinWaitingInterval)
    return;
  this->last_waiting_update = now;
  this->SendUpdate(true);
}

}  // namespace hawthornwheel::cluster
