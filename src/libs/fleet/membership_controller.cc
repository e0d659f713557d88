#include "fleet/membership_controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/logger.h"
#include "base/metrics.h"
#include "fleet/peer_messenger.h"

namespace hawthornwheel::fleet {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr base::Logger kLog("membership");

constexpr base::Duration kAnnounceRetryDelay = seconds(2);
// Time in which the live members of a failure domain answer a joining process.
constexpr base::Duration kJoinDelay = std::chrono::milliseconds(500);
// Delay of the extra heartbeats after the set of live members changes.
constexpr base::Duration kEarlyHeartbeatDelay = std::chrono::milliseconds(20);
// Members without a heartbeat for longer than this are removed.
constexpr base::Duration kMemberRetention = minutes(2);
constexpr std::size_t kRelaysPerDomain = 2;
// Relays send heartbeats to other failure domains in every third round.
constexpr std::uint64_t kRoundsPerRelayHeartbeat = 3;
// Multiplies the heartbeat timeout for members of other failure domains.
constexpr int kRemoteTimeoutFactor = 4;
// Members that are not live, such as those known only from the log, and the
// seeds get a heartbeat in every fifth round.
constexpr std::uint64_t kRoundsPerProbe = 5;

}  // namespace

MembershipController::MembershipController(
    base::Clock& clock, control_log::LogClient& log, PeerMessenger& messenger,
    FleetBoard& board, base::Metrics& metrics, const FleetSettings& settings)
    : clock(clock),
      log(log),
      messenger(messenger),
      board(board),
      metrics(metrics),
      settings(settings),
      heartbeat_timer(clock),
      announce_timer(clock),
      early_heartbeat_timer(clock),
      join_timer(clock) {
  this->messenger.SetHandler(
      wire::Envelope::kHeartbeat,
      [this](const wire::Envelope& envelope) { this->OnHeartbeat(envelope); });
}

void MembershipController::Start() {
  this->Announce();
  this->Join();
  this->heartbeat_timer.StartPeriodic(this->settings.heartbeat_interval,
                                      [this] { this->SendHeartbeats(); });
}

void MembershipController::Join() {
  this->joined_at = this->clock.Now() + kJoinDelay;
  this->SendHeartbeats();
  this->join_timer.StartOnce(kJoinDelay, [this] { this->UpdateLiveMembers(); });
}

void MembershipController::Announce() {
  wire::LogRecord record;
  record.set_id("announce-" + this->board.self.incarnation());
  *record.mutable_announce() = this->board.self;
  this->metrics.Count("platform.log_appends");
  this->log.Append(record, [this](const base::Result<std::uint64_t>& result) {
    if (result || this->leaving) return;
    this->announce_timer.StartOnce(kAnnounceRetryDelay,
                                   [this] { this->Announce(); });
  });
}

void MembershipController::OnRecord(const wire::LogRecord& record) {
  if (record.has_announce()) {
    this->FindOrAddMember(record.announce());
    return;
  }
  if (!record.has_leave()) return;
  const auto found = this->board.members.find(record.leave().incarnation());
  if (found == this->board.members.end()) return;
  found->second.left = true;
  this->UpdateLiveMembers();
}

void MembershipController::SetHeartbeatFiller(HeartbeatFiller filler) {
  this->filler = std::move(filler);
}

void MembershipController::SetHeartbeatListener(
    std::function<void(const wire::Envelope&)> listener) {
  this->heartbeat_listener = std::move(listener);
}

void MembershipController::SetChangeListener(std::function<void()> listener) {
  this->change_listener = std::move(listener);
}

void MembershipController::Leave(std::function<void()> done) {
  this->leaving = true;
  this->announce_timer.Stop();
  this->SendHeartbeats();
  wire::LogRecord record;
  record.set_id("leave-" + this->board.self.incarnation());
  record.mutable_leave()->set_incarnation(this->board.self.incarnation());
  this->metrics.Count("platform.log_appends");
  this->log.Append(record, [done = std::move(done)](
                               const base::Result<std::uint64_t>& result) {
    if (!result) kLog.Warning("The log did not confirm the leave record.");
    done();
  });
}

void MembershipController::SetLostMemberListener(
    std::function<void(const Member&)> listener) {
  this->lost_member_listener = std::move(listener);
}

void MembershipController::ReportLostMembers(
    const std::vector<std::string>& live) const {
  for (const std::string& incarnation : this->last_live) {
    const bool in_live_list =
        std::find(live.begin(), live.end(), incarnation) != live.end();
    const auto found = this->board.members.find(incarnation);
    if (in_live_list || found == this->board.members.end()) continue;
    // A draining process is not lost: it still answers requests for its jobs.
    if (!this->IsLive(found->second)) this->lost_member_listener(found->second);
  }
}

void MembershipController::CheckLiveness() { this->UpdateLiveMembers(); }

bool MembershipController::HasJoined() const {
  return !this->leaving && this->clock.Now() >= this->joined_at;
}

base::Duration MembershipController::JoinedFor() const {
  return this->clock.Now() - this->joined_at;
}

bool MembershipController::IsLive(const Member& member) const {
  if (member.left || !member.heartbeat_received) return false;
  const bool local = member.announce.domain() == this->board.self.domain();
  const base::Duration timeout =
      this->settings.heartbeat_timeout * (local ? 1 : kRemoteTimeoutFactor);
  return this->clock.Now() - member.last_heartbeat < timeout;
}

std::vector<std::string> MembershipController::LiveIn(
    const std::string& domain) const {
  std::vector<std::string> live;
  for (const auto& [incarnation, member] : this->board.members) {
    if (member.announce.domain() != domain || member.draining) continue;
    if (this->IsLive(member)) live.push_back(incarnation);
  }
  if (domain == this->board.self.domain() && this->HasJoined()) {
    live.push_back(this->board.self.incarnation());
  }
  std::sort(live.begin(), live.end());
  return live;
}

void MembershipController::SendHeartbeats() {
  ++this->heartbeat_round;
  this->RemoveSilentMembers();
  const wire::Heartbeat heartbeat = this->MakeHeartbeat();
  for (const std::string& address : this->HeartbeatTargets()) {
    this->SendTo(address, heartbeat);
  }
  this->UpdateLiveMembers();
}

void MembershipController::SendHeartbeatsNow() { this->SendHeartbeats(); }

void MembershipController::SendTo(const std::string& address,
                                  const wire::Heartbeat& heartbeat) {
  wire::Envelope envelope;
  *envelope.mutable_heartbeat() = heartbeat;
  this->metrics.Count("peer.heartbeats");
  this->messenger.Notify(address, std::move(envelope));
}

wire::Heartbeat MembershipController::MakeHeartbeat() const {
  wire::Heartbeat heartbeat;
  *heartbeat.mutable_member() = this->board.self;
  heartbeat.set_config_next_offset(this->board.config.NextOffset());
  heartbeat.set_draining(this->leaving);
  if (this->filler) this->filler(heartbeat);
  if (this->IsRelay()) this->AddRemoteDigests(heartbeat);
  return heartbeat;
}

void MembershipController::AddRemoteDigests(wire::Heartbeat& heartbeat) const {
  for (const auto& [incarnation, member] : this->board.members) {
    if (!this->IsLive(member) || member.draining) continue;
    wire::MemberDigest* digest = heartbeat.add_remote();
    *digest->mutable_member() = member.announce;
    digest->set_free_slots(member.free_slots);
    const auto age = this->clock.Now() - member.last_heartbeat;
    digest->set_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
  }
}

std::set<std::string> MembershipController::HeartbeatTargets() const {
  std::set<std::string> targets;
  const bool is_relay_round =
      this->IsRelay() && this->heartbeat_round % kRoundsPerRelayHeartbeat == 0;
  const bool is_probe_round = this->heartbeat_round % kRoundsPerProbe == 1;
  for (const auto& [incarnation, member] : this->board.members) {
    if (member.left) continue;
    const bool local = member.announce.domain() == this->board.self.domain();
    const bool live = this->IsLive(member);
    const bool due =
        live ? local : is_probe_round && (local || this->IsRelay());
    if (due) targets.insert(member.announce.peer_address());
  }
  if (is_relay_round) {
    std::set<std::string> domains;
    for (const auto& [incarnation, member] : this->board.members) {
      domains.insert(member.announce.domain());
    }
    domains.erase(this->board.self.domain());
    for (const std::string& domain : domains) {
      for (const std::string& incarnation : this->RelaysOf(domain)) {
        targets.insert(
            this->board.members.at(incarnation).announce.peer_address());
      }
    }
  }
  if (is_probe_round) {
    targets.insert(this->settings.seeds.begin(), this->settings.seeds.end());
  }
  targets.erase(this->board.self.peer_address());
  return targets;
}

bool MembershipController::IsRelay() const {
  const std::vector<std::string> relays =
      this->RelaysOf(this->board.self.domain());
  return std::find(relays.begin(), relays.end(),
                   this->board.self.incarnation()) != relays.end();
}

std::vector<std::string> MembershipController::RelaysOf(
    const std::string& domain) const {
  std::vector<std::string> live = this->LiveIn(domain);
  if (live.size() > kRelaysPerDomain) live.resize(kRelaysPerDomain);
  return live;
}

void MembershipController::OnHeartbeat(const wire::Envelope& envelope) {
  const wire::Heartbeat& heartbeat = envelope.heartbeat();
  if (heartbeat.member().incarnation() == this->board.self.incarnation()) {
    return;
  }
  Member& member = this->FindOrAddMember(heartbeat.member());
  const bool was_live = this->IsLive(member);
  member.heartbeat_received = true;
  member.last_heartbeat = this->clock.Now();
  member.draining = heartbeat.draining();
  member.config_next_offset = heartbeat.config_next_offset();
  member.free_slots = heartbeat.free_slots();
  member.queued_tasks = heartbeat.queued_tasks();
  member.held_slots.clear();
  for (const wire::HeldSlots& held : heartbeat.held()) {
    member.held_slots[held.endpoint()] = held.slots();
  }
  for (const wire::MemberDigest& digest : heartbeat.remote()) {
    this->OnRemoteDigest(digest);
  }
  if (this->heartbeat_listener) this->heartbeat_listener(envelope);
  if (!was_live) this->SendTo(envelope.sender_address(), this->MakeHeartbeat());
  this->UpdateLiveMembers();
}

void MembershipController::OnRemoteDigest(const wire::MemberDigest& digest) {
  const wire::MemberAnnounce& announce = digest.member();
  if (announce.incarnation() == this->board.self.incarnation()) return;
  Member& member = this->FindOrAddMember(announce);
  // Only heartbeats received directly decide whether a member of the own
  // failure domain is live.
  if (announce.domain() == this->board.self.domain()) return;
  const base::TimePoint seen_at =
      this->clock.Now() - std::chrono::milliseconds(digest.age_ms());
  if (member.heartbeat_received && seen_at <= member.last_heartbeat) return;
  member.heartbeat_received = true;
  member.last_heartbeat = seen_at;
  member.free_slots = digest.free_slots();
}

Member& MembershipController::FindOrAddMember(
    const wire::MemberAnnounce& announce) {
  const auto [position, inserted] =
      this->board.members.try_emplace(announce.incarnation());
  Member& member = position->second;
  if (announce.incarnation() == this->board.self.incarnation()) {
    member.left = true;
    return member;
  }
  if (inserted) {
    member.announce = announce;
    member.last_heartbeat = this->clock.Now();
    this->MarkReplacedMembers(announce);
    const bool local = announce.domain() == this->board.self.domain();
    if (local) this->SendTo(announce.peer_address(), this->MakeHeartbeat());
  }
  return member;
}

void MembershipController::MarkReplacedMembers(
    const wire::MemberAnnounce& newer) {
  for (auto& [incarnation, member] : this->board.members) {
    if (incarnation == newer.incarnation()) continue;
    if (member.announce.peer_address() != newer.peer_address()) continue;
    if (!member.left) {
      kLog.Info(
          "A new incarnation replaced a member at its address. old={} new={}",
          incarnation, newer.incarnation());
    }
    member.left = true;
  }
}

void MembershipController::RemoveSilentMembers() {
  const base::TimePoint now = this->clock.Now();
  std::erase_if(this->board.members, [&](const auto& entry) {
    return now - entry.second.last_heartbeat > kMemberRetention;
  });
}

void MembershipController::UpdateLiveMembers() {
  std::vector<std::string> live = this->LiveIn(this->board.self.domain());
  if (live == this->last_live) return;
  if (this->lost_member_listener) this->ReportLostMembers(live);
  kLog.Info("The set of live processes in the failure domain changed. live={}",
            live.size());
  this->last_live = std::move(live);
  if (this->change_listener) this->change_listener();
  // Endpoint owners change now. Extra heartbeats report early which slots are
  // still held.
  this->early_heartbeat_timer.StartOnce(kEarlyHeartbeatDelay,
                                        [this] { this->SendHeartbeats(); });
}

}  // namespace hawthornwheel::fleet
