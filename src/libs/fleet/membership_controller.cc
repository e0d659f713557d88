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

constexpr base::Duration kAnnounceRetry = seconds(2);
// Time in which the live members of a domain answer a process that joins.
constexpr base::Duration kJoinDelay = std::chrono::milliseconds(500);
constexpr base::Duration kBeatSoon = std::chrono::milliseconds(20);
constexpr base::Duration kForgetAfter = minutes(2);
constexpr std::size_t kRelaysPerDomain = 2;
// Relays speak to other domains on every third beat.
constexpr std::uint64_t kBeatsPerRelayBeat = 3;
constexpr int kRemoteTimeoutFactor = 4;
// Members known from the log alone get a heartbeat on every fifth beat.
constexpr std::uint64_t kBeatsPerProbe = 5;

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
      beat_timer(clock),
      announce_timer(clock),
      beat_soon(clock),
      join_timer(clock) {
  this->messenger.SetHandler(
      wire::Envelope::kHeartbeat,
      [this](const wire::Envelope& envelope) { this->OnHeartbeat(envelope); });
}

void MembershipController::Start() {
  this->Announce();
  this->Rejoin();
  this->beat_timer.StartPeriodic(this->settings.heartbeat_interval,
                                 [this] { this->BeatOnce(); });
}

void MembershipController::Rejoin() {
  this->joined_at = this->clock.Now() + kJoinDelay;
  this->BeatOnce();
  this->join_timer.StartOnce(kJoinDelay, [this] { this->NotifyChange(); });
}

void MembershipController::Announce() {
  wire::LogRecord record;
  record.set_id("announce-" + this->board.self.incarnation());
  *record.mutable_announce() = this->board.self;
  this->metrics.Count("platform.log_appends");
  this->log.Append(record, [this](const base::Result<std::uint64_t>& result) {
    if (result || this->leaving) return;
    this->announce_timer.StartOnce(kAnnounceRetry,
                                   [this] { this->Announce(); });
  });
}

void MembershipController::OnRecord(const wire::LogRecord& record) {
  if (record.has_announce()) {
    this->Learn(record.announce());
    return;
  }
  if (!record.has_leave()) return;
  const auto found = this->board.members.find(record.leave().incarnation());
  if (found == this->board.members.end()) return;
  found->second.left = true;
  this->NotifyChange();
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
  this->BeatOnce();
  wire::LogRecord record;
  record.set_id("leave-" + this->board.self.incarnation());
  record.mutable_leave()->set_incarnation(this->board.self.incarnation());
  this->metrics.Count("platform.log_appends");
  this->log.Append(record, [done = std::move(done)](
                               const base::Result<std::uint64_t>& result) {
    if (!result) kLog.Warning("The log did not take the leave record.");
    done();
  });
}

void MembershipController::SetDeathListener(
    std::function<void(const Member&)> listener) {
  this->death_listener = std::move(listener);
}

void MembershipController::ReportDeaths(
    const std::vector<std::string>& live) const {
  for (const std::string& incarnation : this->last_live) {
    const bool lives =
        std::find(live.begin(), live.end(), incarnation) != live.end();
    const auto found = this->board.members.find(incarnation);
    if (lives || found == this->board.members.end()) continue;
    // A draining process still answers for its jobs.
    if (!this->IsLive(found->second)) this->death_listener(found->second);
  }
}

void MembershipController::CheckLive() { this->NotifyChange(); }

bool MembershipController::HasJoined() const {
  return !this->leaving && this->clock.Now() >= this->joined_at;
}

base::Duration MembershipController::JoinedFor() const {
  return this->clock.Now() - this->joined_at;
}

bool MembershipController::IsLive(const Member& member) const {
  if (member.left || !member.heard) return false;
  const bool local = member.announce.domain() == this->board.self.domain();
  const base::Duration timeout =
      this->settings.heartbeat_timeout * (local ? 1 : kRemoteTimeoutFactor);
  return this->clock.Now() - member.last_heard < timeout;
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

void MembershipController::BeatOnce() {
  ++this->beats;
  this->ForgetOld();
  const wire::Heartbeat heartbeat = this->MakeHeartbeat();
  for (const std::string& address : this->HeartbeatTargets()) {
    this->SendTo(address, heartbeat);
  }
  this->NotifyChange();
}

void MembershipController::BeatNow() { this->BeatOnce(); }

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
    const auto age = this->clock.Now() - member.last_heard;
    digest->set_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
  }
}

std::set<std::string> MembershipController::HeartbeatTargets() const {
  std::set<std::string> targets;
  const bool relay_beat =
      this->IsRelay() && this->beats % kBeatsPerRelayBeat == 0;
  const bool probe_beat = this->beats % kBeatsPerProbe == 1;
  for (const auto& [incarnation, member] : this->board.members) {
    if (member.left) continue;
    const bool local = member.announce.domain() == this->board.self.domain();
    const bool live = this->IsLive(member);
    const bool due = live ? local : probe_beat && (local || this->IsRelay());
    if (due) targets.insert(member.announce.peer_address());
  }
  if (relay_beat) {
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
  if (probe_beat) {
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
  Member& member = this->Learn(heartbeat.member());
  const bool was_live = this->IsLive(member);
  member.heard = true;
  member.last_heard = this->clock.Now();
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
  this->NotifyChange();
}

void MembershipController::OnRemoteDigest(const wire::MemberDigest& digest) {
  const wire::MemberAnnounce& announce = digest.member();
  if (announce.incarnation() == this->board.self.incarnation()) return;
  Member& member = this->Learn(announce);
  // Only own ears decide on the life of a process in the own domain.
  if (announce.domain() == this->board.self.domain()) return;
  const base::TimePoint heard =
      this->clock.Now() - std::chrono::milliseconds(digest.age_ms());
  if (member.heard && heard <= member.last_heard) return;
  member.heard = true;
  member.last_heard = heard;
  member.free_slots = digest.free_slots();
}

Member& MembershipController::Learn(const wire::MemberAnnounce& announce) {
  const auto [position, inserted] =
      this->board.members.try_emplace(announce.incarnation());
  Member& member = position->second;
  if (announce.incarnation() == this->board.self.incarnation()) {
    member.left = true;
    return member;
  }
  if (inserted) {
    member.announce = announce;
    member.last_heard = this->clock.Now();
    this->ReplaceAddress(announce);
    const bool local = announce.domain() == this->board.self.domain();
    if (local) this->SendTo(announce.peer_address(), this->MakeHeartbeat());
  }
  return member;
}

void MembershipController::ReplaceAddress(const wire::MemberAnnounce& newer) {
  for (auto& [incarnation, member] : this->board.members) {
    if (incarnation == newer.incarnation()) continue;
    if (member.announce.peer_address() != newer.peer_address()) continue;
    if (!member.left) {
      kLog.Info("An incarnation took over an address. old={} new={}",
                incarnation, newer.incarnation());
    }
    member.left = true;
  }
}

void MembershipController::ForgetOld() {
  const base::TimePoint now = this->clock.Now();
  std::erase_if(this->board.members, [&](const auto& entry) {
    return now - entry.second.last_heard > kForgetAfter;
  });
}

void MembershipController::NotifyChange() {
  std::vector<std::string> live = this->LiveIn(this->board.self.domain());
  if (live == this->last_live) return;
  if (this->death_listener) this->ReportDeaths(live);
  kLog.Info("The live processes of the failure domain changed. live={}",
            live.size());
  this->last_live = std::move(live);
  if (this->change_listener) this->change_listener();
  // Owners change now; the others learn at once which slots are still held.
  this->beat_soon.StartOnce(kBeatSoon, [this] { this->BeatOnce(); });
}

}  // namespace hawthornwheel::fleet
