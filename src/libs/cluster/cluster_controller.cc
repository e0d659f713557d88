#include "cluster/cluster_controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/logger.h"
#include "base/metrics.h"
#include "catalog/catalog_controller.h"
#include "cluster/roles.h"
#include "fleet/peer_transport.h"

namespace hawthornwheel::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Logger kLog("cluster");

// Silent members are removed after this time. A replaced process never returns,
// and a restarted one is discovered again.
constexpr base::Duration kForgetAfter = seconds(60);
// Heartbeats to a member stop when it has been unrelated for this time. Members
// with open tasks or jobs are related, however long these take. The time covers
// what one of the two opens while the other does not know of it yet, and keeps
// roles that change back and forth from starting over.
constexpr base::Duration kUnrelatedTimeout = seconds(5);
// Minimum pause between answers to an unrelated process.
constexpr base::Duration kUnrelatedAnswerPause = milliseconds(500);
// Time after its start as a coordinator in which a process hears from the
// coordinators of the other domains, which may have started with it.
constexpr base::Duration kContactTime = seconds(1);
// A longer interval between two ticks means that the process was paused.
constexpr base::Duration kPauseThreshold = milliseconds(600);
// Pause between two reads of the members topic.
constexpr base::Duration kMembersReadPause = seconds(5);
// A process that has lost a member writes its own record to the store at once
// and then at this interval. Meanwhile it reads the members topic more often.
constexpr base::Duration kPresenceInterval = milliseconds(400);
constexpr base::Duration kPresenceReadPause = milliseconds(200);
// Silence after which a member that has written no new record to the store
// counts as gone. Covers the time to detect the loss, one write and one read of
// the presence record, and a margin.
constexpr base::Duration kGoneAfter = milliseconds(1'500);
constexpr base::Duration kAnnounceRetry = milliseconds(700);

HeldEndpoint Decode(const wire::HeldEndpoint& reported, base::TimePoint now) {
  constexpr double kPercent = 100;
  HeldEndpoint held;
  held.open = reported.open();
  if (!held.open) return held;
  held.service = reported.service();
  held.free = {reported.free_cpu_milli(), reported.free_memory_mb(),
               reported.free_accelerators()};
  held.pace = reported.pace_percent() / kPercent;
  held.pace_runs = static_cast<int>(reported.pace_runs());
  if (reported.next_free_ms() > 0)
    held.next_free = now + milliseconds(reported.next_free_ms());
  held.incarnation_start_ms = reported.incarnation_start_ms();
  held.labels.assign(reported.labels().begin(), reported.labels().end());
  return held;
}

JobRuns JobsOf(const wire::MemberHeartbeat& heartbeat) {
  JobRuns jobs;
  for (const wire::JobInProgress& job : heartbeat.jobs_in_progress()) {
    AddRun(jobs, job.id(), job.last_run());
  }
  return jobs;
}

// Merges the endpoints of a heartbeat into `held`. Returns whether the set of
// endpoints has changed.
bool MergeHeld(const wire::MemberHeartbeat& heartbeat, base::TimePoint now,
               std::map<std::string, HeldEndpoint>& held) {
  if (heartbeat.partial()) {
    bool changed = false;
    for (const wire::HeldEndpoint& reported : heartbeat.held()) {
      if (reported.released()) {
        changed = held.erase(reported.id()) > 0 || changed;
        continue;
      }
      changed = !held.contains(reported.id()) || changed;
      held[reported.id()] = Decode(reported, now);
    }
    return changed;
  }
  std::map<std::string, HeldEndpoint> before;
  before.swap(held);
  for (const wire::HeldEndpoint& reported : heartbeat.held()) {
    held[reported.id()] = Decode(reported, now);
  }
  return !std::equal(
      held.begin(), held.end(), before.begin(), before.end(),
      [](const auto& a, const auto& b) { return a.first == b.first; });
}

}  // namespace

ClusterController::ClusterController(const Parts& parts,
                                     wire::MemberAnnounce self,
                                     std::vector<std::string> seeds)
    : parts(parts),
      sender(parts.clock, this->board,
             {[this](wire::MemberHeartbeat& heartbeat) {
                this->FillHeartbeat(heartbeat);
              },
              [this](const std::string& address, wire::Envelope envelope) {
                this->Send(address, std::move(envelope));
              },
              [this](const std::string& domain) {
                return this->parts.catalog.GetCatalog().evacuations.Contains(
                    domain);
              }}),
      sync(parts.clock, parts.catalog,
           [this](const std::string& address, wire::Envelope envelope) {
             this->Send(address, std::move(envelope));
           }),
      seeds(std::move(seeds)),
      discovery(this->board, parts.clock.Now()),
      tick_timer(parts.clock),
      announce_timer(parts.clock),
      presence_timer(parts.clock),
      last_tick(parts.clock.Now()) {
  this->board.self = std::move(self);
  this->members_follower = std::make_unique<catalog::TopicFollower>(
      parts.store, parts.clock,
      catalog::FollowSettings{
          catalog::Topic::kMembers, "members", {}, kMembersReadPause},
      [this](const std::vector<catalog::StoreRecord>& records, bool,
             std::uint64_t) { this->ReceiveMembers(records); });
}

ClusterController::~ClusterController() = default;

void ClusterController::Start() {
  for (const std::string& seed : this->seeds) this->AddMember(seed);
  this->Announce();
  this->members_follower->Start();
  this->OnTick();
  this->tick_timer.StartPeriodic(HeartbeatSender::kTick,
                                 [this] { this->OnTick(); });
}

void ClusterController::SetHeldEndpointWriter(
    HeartbeatSender::HeldEndpointWriter writer) {
  this->sender.SetHeldEndpointWriter(std::move(writer));
}

void ClusterController::SetJobsInProgress(
    HeartbeatSender::JobsInProgress jobs) {
  this->sender.SetJobsInProgress(std::move(jobs));
}

void ClusterController::SetOpenWorkPeers(HeartbeatSender::OpenWorkPeers peers) {
  this->sender.SetOpenWorkPeers(std::move(peers));
}

JobRuns ClusterController::JobsInProgressElsewhere() const {
  JobRuns jobs;
  const base::TimePoint now = this->parts.clock.Now();
  for (const auto& [address, member] : this->board.members) {
    ClusterBoard::AddReportedJobs(member, now, jobs);
  }
  return jobs;
}

void ClusterController::SetMembersListener(std::function<void()> listener) {
  this->members_listener = std::move(listener);
}

void ClusterController::SetCapacityListener(std::function<void()> listener) {
  this->capacity_listener = std::move(listener);
}

bool ClusterController::IsMembershipKnown() const {
  return this->discovery.IsKnown(this->parts.clock.Now());
}

std::uint64_t ClusterController::OwnSteadyMs() const {
  return static_cast<std::uint64_t>(this->parts.clock.Now().time_since_epoch() /
                                    milliseconds(1));
}

std::uint64_t ClusterController::SteadyMsOf(
    const ClusterBoard::Member& member) const {
  const base::Duration age = this->parts.clock.Now() - member.last_heard;
  return member.last.steady_ms() +
         static_cast<std::uint64_t>(age / milliseconds(1));
}

std::uint64_t ClusterController::SteadyMsAt(const std::string& address,
                                            base::TimePoint time) const {
  const auto found = this->board.members.find(address);
  if (found == this->board.members.end()) return 0;
  const std::int64_t offset_ms =
      (time - this->parts.clock.Now()) / milliseconds(1);
  const std::int64_t steady_ms =
      static_cast<std::int64_t>(this->SteadyMsOf(found->second)) + offset_ms;
  return static_cast<std::uint64_t>(std::max<std::int64_t>(1, steady_ms));
}

std::optional<base::TimePoint> ClusterController::TimeOfSteadyMs(
    std::uint64_t steady_ms) const {
  if (steady_ms == 0) return {};
  return base::TimePoint(milliseconds(steady_ms));
}

bool ClusterController::IsConfirmedBy(
    const ClusterBoard::Member& member) const {
  if (!member.live || !ClusterBoard::IsReceivedBy(member)) return false;
  return this->TimeSinceConfirmed(member) <
         HeartbeatSender::HeartbeatTimeout(member.reported_interval);
}

base::Duration ClusterController::TimeSinceConfirmed(
    const ClusterBoard::Member& member) const {
  // A process of an older version confirms nothing.
  if (member.confirmed_steady_ms == 0) return base::Duration{0};
  return milliseconds(this->OwnSteadyMs() - member.confirmed_steady_ms);
}

void ClusterController::Announce() {
  this->parts.store.Append(
      catalog::Topic::kMembers, this->board.self.peer_address(),
      this->board.self.SerializeAsString(),
      [this](const base::Result<bool>& done) {
        if (done) return;
        kLog.Warning("Announcement failed and will be retried. cause=\"{}\"",
                     done.GetError().detail);
        this->announce_timer.StartOnce(kAnnounceRetry,
                                       [this] { this->Announce(); });
      });
}

void ClusterController::ReceiveMembers(
    const std::vector<catalog::StoreRecord>& records) {
  if (!this->discovery.HasReadMembers()) {
    this->discovery.OnMembersRead(this->parts.clock.Now());
    for (const catalog::StoreRecord& record : records) {
      this->AddMember(record.key);
    }
    this->sender.SendToAll();
  }
  for (const catalog::StoreRecord& record : records) {
    if (record.value.empty()) continue;
    this->AddMember(record.key);
    const auto member = this->board.members.find(record.key);
    if (member == this->board.members.end()) continue;
    if (record.offset <= member->second.record_offset) continue;
    member->second.record_offset = record.offset;
    member->second.last_record_read = this->parts.clock.Now();
    if (!member->second.listed.ParseFromString(record.value)) {
      member->second.listed.Clear();
    }
  }
}

void ClusterController::AddMember(const std::string& address) {
  if (address.empty() || address == this->board.self.peer_address()) return;
  const auto [found, added] = this->board.members.try_emplace(address);
  if (!added) return;
  found->second.announce.set_peer_address(address);
  found->second.first_known = this->parts.clock.Now();
  found->second.last_heard = this->parts.clock.Now();
}

void ClusterController::OnTick() {
  const base::TimePoint now = this->parts.clock.Now();
  if (now - this->last_tick > kPauseThreshold) {
    kLog.Warning("Process was paused. ms={}",
                 (now - this->last_tick) / milliseconds(1));
    this->discovery.AwaitHeartbeats(now);
    for (auto& [address, member] : this->board.members) {
      if (member.live) member.last_heard = now;
    }
  }
  this->last_tick = now;
  this->CheckMembership();
  this->FindLost();
  this->DropUnrelated();
  this->sender.Tick();
}

// Assigns a role to this process as soon as the membership is known.
void ClusterController::CheckMembership() {
  if (this->board.membership_known || !this->IsMembershipKnown()) return;
  this->board.membership_known = true;
  this->UpdateRoles();
  if (this->members_listener) this->members_listener();
}

// Marks members that have been unrelated for kUnrelatedTimeout, which ends the
// heartbeats to them. Members become unrelated because roles change when
// processes join and leave.
void ClusterController::DropUnrelated() {
  const base::TimePoint now = this->parts.clock.Now();
  bool dropped = false;
  for (auto& [address, member] : this->board.members) {
    const bool related =
        this->IsRelated(member.announce, member.last.coordinates(),
                        !member.job_report.jobs.empty());
    if (related || !member.live) {
      member.last_related = now;
    } else if (now - member.last_related > kUnrelatedTimeout) {
      member.live = false;
      member.presumed_gone = true;
      member.unrelated = true;
      member.held.clear();
      dropped = true;
    }
  }
  if (dropped) this->UpdateRoles();
}

// Assigns the roles. When the role of this process changes, it sends heartbeats
// to all members again, so that a new coordinator becomes known to all.
void ClusterController::UpdateRoles() {
  const bool before = this->board.is_coordinator;
  const bool was_entry = this->role_assigned && !before;
  this->role_assigned = this->board.membership_known;
  if (!RefreshRoles(this->board)) return;
  if (before != this->board.is_coordinator) {
    kLog.Info("Role has changed. coordinates={}", this->board.is_coordinator);
    if (was_entry) this->AwaitHolders();
    this->role_assigned_at = this->parts.clock.Now();
    for (auto& [address, member] : this->board.members) {
      member.unrelated = false;
    }
    this->sender.SendToAll();
  }
  this->parts.catalog.FollowEndpoints(this->board.is_coordinator);
}

bool ClusterController::AreOtherDomainsKnown() const {
  return this->board.is_coordinator &&
         this->parts.clock.Now() - this->role_assigned_at >= kContactTime;
}

// Claims of an entry that has become a coordinator wait until the other
// coordinators have told it what they hold. Until now they told it nothing.
void ClusterController::AwaitHolders() {
  this->discovery.AwaitHeartbeats(this->parts.clock.Now());
}

void ClusterController::FindLost() {
  const base::TimePoint now = this->parts.clock.Now();
  bool changed = false;
  for (auto& [address, member] : this->board.members) {
    const base::Duration interval = milliseconds(member.last.interval_ms());
    const base::Duration timeout = HeartbeatSender::HeartbeatTimeout(interval);
    if (!member.live || now - member.last_heard <= timeout) continue;
    member.live = false;
    member.presumed_gone = !member.last.coordinates() && member.held.empty();
    changed = true;
    this->parts.metrics.Count("cluster.lost");
    kLog.Warning("Member is lost. member={} incarnation={} silent_ms={}",
                 address, member.announce.incarnation(),
                 (now - member.last_heard) / milliseconds(1));
  }
  std::erase_if(this->board.members, [now](const auto& item) {
    return !item.second.live && now - item.second.last_heard > kForgetAfter;
  });
  if (changed) this->UpdateRoles();
  if (changed) this->AnnouncePresence();
  this->FindGone();
  if (changed && this->members_listener) this->members_listener();
}

void ClusterController::FindGone() {
  bool changed = false;
  for (auto& [address, member] : this->board.members) {
    if (member.live || member.presumed_gone || !this->CanPresumeGone(member))
      continue;
    member.presumed_gone = true;
    changed = true;
    kLog.Warning(
        "Lost member counts as holding no endpoints. member={} silent_ms={}",
        address,
        (this->parts.clock.Now() - member.last_heard) / milliseconds(1));
  }
  if (changed && this->members_listener) this->members_listener();
}

bool ClusterController::CanPresumeGone(
    const ClusterBoard::Member& member) const {
  const base::TimePoint now = this->parts.clock.Now();
  if (now - member.last_heard < kGoneAfter) return false;
  if (now - this->members_follower->LastRead() > kPresenceInterval * 2) {
    // Without the store, the minority side of a partition takes over no
    // endpoints.
    return this->HasMajority();
  }
  return now - member.last_record_read >= kGoneAfter;
}

bool ClusterController::HasMajority() const {
  std::size_t live = 1;
  std::size_t known = 1;
  for (const auto& [address, member] : this->board.members) {
    if (member.live) ++live;
    if (member.live || !member.presumed_gone) ++known;
  }
  return live * 2 > known;
}

// Writes the record of this process to the store every kPresenceInterval while
// members are missing, as each process does, so that a partition between
// processes can be distinguished from a crash.
void ClusterController::AnnouncePresence() {
  const bool missing =
      std::any_of(this->board.members.begin(), this->board.members.end(),
                  [](const auto& item) {
                    return !item.second.live && !item.second.presumed_gone;
                  });
  if (!missing) {
    this->members_follower->SetPause(kMembersReadPause);
    this->presence_timer.Stop();
    return;
  }
  this->members_follower->SetPause(kPresenceReadPause);
  this->Announce();
  this->presence_timer.StartOnce(kPresenceInterval,
                                 [this] { this->AnnouncePresence(); });
}

void ClusterController::MarkHeldChanged() { this->sender.MarkHeldChanged(); }

void ClusterController::SetTasksWaiting(bool tasks_waiting) {
  if (tasks_waiting == this->board.tasks_waiting) return;
  this->board.tasks_waiting = tasks_waiting;
  this->sender.SendTasksWaiting();
}

void ClusterController::FillHeartbeat(wire::MemberHeartbeat& heartbeat) const {
  *heartbeat.mutable_member() = this->board.self;
  heartbeat.set_leaving(this->board.leaving);
  heartbeat.set_wanting(this->board.tasks_waiting);
  heartbeat.set_coordinates(this->board.is_coordinator);
  heartbeat.set_steady_ms(this->OwnSteadyMs());
  heartbeat.set_config_version(this->parts.catalog.GetCatalog().Version());
  heartbeat.set_endpoints_offset(
      this->parts.catalog.GetCatalog().endpoints_offset);
  heartbeat.set_evacuations_revision(
      this->parts.catalog.GetCatalog().evacuations.Revision());
}

void ClusterController::SetWeight(std::uint32_t weight) {
  if (weight == this->board.self.weight()) return;
  this->board.self.set_weight(weight);
  this->UpdateRoles();
  this->sender.SendToAll();
  if (this->members_listener) this->members_listener();
}

void ClusterController::Leave() {
  this->board.leaving = true;
  this->UpdateRoles();
  this->sender.SendToAll();
}

void ClusterController::Send(const std::string& address,
                             wire::Envelope envelope) {
  envelope.set_sender(this->board.self.incarnation());
  envelope.set_sender_address(this->board.self.peer_address());
  if (!this->parts.transport.Send(address, envelope)) {
    this->parts.metrics.Count("cluster.send_queue_full");
  }
}

bool ClusterController::Receive(const wire::Envelope& envelope) {
  const std::string& recipient = envelope.recipient();
  if (!recipient.empty() && recipient != this->board.self.incarnation()) {
    this->parts.metrics.Count("cluster.other_recipient");
    return true;
  }
  switch (envelope.body_case()) {
    case wire::Envelope::kMemberHeartbeat:
      this->ReceiveHeartbeat(envelope);
      return true;
    case wire::Envelope::kCatalogRequest:
      this->sync.Answer(envelope);
      return true;
    case wire::Envelope::kCatalogUpdate:
      this->sync.Apply(envelope);
      return true;
    default:
      return false;
  }
}

// Returns whether this process and a member exchange heartbeats: by their
// domains and roles, or since they have tasks or jobs open, or since one of
// them is an entry that coordinates jobs from an earlier role, whose copies the
// other may get.
bool ClusterController::IsRelated(const wire::MemberAnnounce& announce,
                                  bool coordinates, bool reports_jobs) const {
  if (announce.domain() == this->board.self.domain()) return true;
  if (this->sender.HasOpenWorkWith(announce.peer_address())) return true;
  const bool is_coordinator = this->board.is_coordinator;
  return (is_coordinator && (coordinates || reports_jobs)) ||
         (coordinates && this->sender.ReportsJobs());
}

void ClusterController::ReceiveHeartbeat(const wire::Envelope& envelope) {
  const wire::MemberHeartbeat& heartbeat = envelope.member_heartbeat();
  const std::string& address = envelope.sender_address();
  if (address == this->board.self.peer_address()) return;
  this->AddMember(address);
  ClusterBoard::Member& member = this->board.members[address];
  const bool same_process =
      member.announce.incarnation() == heartbeat.member().incarnation();
  // A heartbeat of the same process that arrives out of order is outdated.
  if (same_process && heartbeat.steady_ms() < member.last.steady_ms()) return;
  const bool joined = !member.live || !same_process;
  bool changed = joined || heartbeat.leaving() != member.last.leaving();
  const bool may_change_roles =
      changed || heartbeat.coordinates() != member.last.coordinates() ||
      heartbeat.member().weight() != member.announce.weight() ||
      heartbeat.member().domain() != member.announce.domain();
  changed =
      changed || heartbeat.hears_receiver() != member.last.hears_receiver() ||
      (heartbeat.receiver_steady_ms() <= this->OwnSteadyMs() &&
       heartbeat.receiver_live_since_ms() > member.confirmed_since_steady_ms);
  member.announce = heartbeat.member();
  member.last_heard = this->parts.clock.Now();
  if (!same_process) {
    member.held.clear();
    member.previous_job_report = std::exchange(member.job_report, {});
    member.confirmed_steady_ms = 0;
    member.confirmed_since_steady_ms = 0;
  }
  for (const std::string& peer : heartbeat.peers()) this->AddMember(peer);
  const bool related =
      member.live ||
      this->IsRelated(heartbeat.member(), heartbeat.coordinates(),
                      heartbeat.jobs_in_progress_size() > 0);
  if (!related) {
    // The sender stops when it sees from an answer that it is unrelated to this
    // process. Without the pause, two processes would answer each other's
    // answers.
    const base::Duration since_answer =
        this->parts.clock.Now() - member.last_sent;
    if (!same_process || since_answer >= kUnrelatedAnswerPause)
      this->sender.SendNow(address);
    member.unrelated = true;
    return;
  }
  if (joined) {
    member.live_since = this->parts.clock.Now();
    member.live_since_steady_ms = heartbeat.steady_ms();
  }
  // A queued heartbeat for the process that this VM ran before a reboot
  // confirms readings of a clock that has begun anew since.
  if (heartbeat.receiver_steady_ms() <= this->OwnSteadyMs()) {
    member.confirmed_steady_ms =
        std::max(member.confirmed_steady_ms, heartbeat.receiver_steady_ms());
    member.confirmed_since_steady_ms = std::max(
        member.confirmed_since_steady_ms, heartbeat.receiver_live_since_ms());
  }
  const bool holds_others =
      MergeHeld(heartbeat, this->parts.clock.Now(), member.held);
  // A member of another domain reports different endpoints each time. Claims of
  // endpoints there wait for the next periodic check.
  if (holds_others && this->board.IsSameDomain(member)) changed = true;
  if (!heartbeat.partial()) {
    member.job_report = {JobsOf(heartbeat), this->parts.clock.Now()};
  }
  member.last = heartbeat;
  member.last.clear_held();
  member.last.clear_jobs_in_progress();
  member.last.clear_peers();
  member.live = true;
  member.presumed_gone = false;
  member.unrelated = false;
  if (joined) {
    kLog.Info("Member is live. member={} incarnation={} domain={}", address,
              heartbeat.member().incarnation(), heartbeat.member().domain());
  }
  const bool was_coordinator = member.is_coordinator;
  if (may_change_roles) this->UpdateRoles();
  changed = changed || was_coordinator != member.is_coordinator;
  if (joined) this->sender.SendNow(address);
  this->sync.RequestIfNewer(member, this->board.is_coordinator);
  if (changed && this->members_listener) this->members_listener();
  if (this->capacity_listener && !heartbeat.held().empty())
    this->capacity_listener();
}

}  // namespace hawthornwheel::cluster
