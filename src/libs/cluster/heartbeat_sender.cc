#include "cluster/heartbeat_sender.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hawthornwheel::cluster {
namespace {

using std::chrono::milliseconds;

// Between processes that place tasks or hand jobs to each other.
constexpr base::Duration kCloseInterval = HeartbeatSender::kTick;
// Between entries of a domain, and to processes that are not live.
constexpr base::Duration kLooseInterval = milliseconds(1'000);
// Four lost heartbeats. A caller sends a job again 1.3 s after it lost its
// process; the runs of that process must have been stopped by then.
constexpr int kMostSilentIntervals = 4;
// Ticks between two lists of peers.
constexpr std::uint64_t kGossipTicks = 10;
// News of free room goes at once where tasks wait for it, and at leisure where
// none do: views then only have to be good enough for a first try.
constexpr base::Duration kUrgentNewsDelay = milliseconds(8);
constexpr base::Duration kNewsDelay = milliseconds(100);
// Least time between two messages that tell of waiting tasks.
constexpr base::Duration kWantInterval = milliseconds(50);

}  // namespace

HeartbeatSender::HeartbeatSender(base::Clock& clock, ClusterBoard& board,
                                 Hooks hooks)
    : clock(clock),
      board(board),
      hooks(std::move(hooks)),
      news_timer(clock),
      last_want(clock.Now()) {}

base::Duration HeartbeatSender::SilenceBound(base::Duration interval) {
  return std::max(interval, kCloseInterval) * kMostSilentIntervals;
}

base::Duration HeartbeatSender::IntervalTo(
    const ClusterBoard::Member& member) const {
  if (!member.live) return kLooseInterval;
  const bool close = this->board.IsSameDomain(member)
                         ? this->board.coordinates || member.coordinates
                         : this->board.coordinates && member.coordinates;
  return close ? kCloseInterval : kLooseInterval;
}

HeartbeatSender::Detail HeartbeatSender::DetailFor(
    const ClusterBoard::Member& member) const {
  return this->IsNewsTarget(member) ? Detail::kAll : Detail::kSummary;
}

bool HeartbeatSender::IsNewsTarget(const ClusterBoard::Member& member) const {
  return member.live && member.coordinates && this->board.IsSameDomain(member);
}

void HeartbeatSender::Tick() {
  ++this->ticks;
  const base::TimePoint now = this->clock.Now();
  for (auto& [address, member] : this->board.members) {
    if (member.unrelated) continue;
    const base::Duration interval = this->IntervalTo(member);
    // A tick may come a little early.
    const bool due = now - member.last_sent >= interval - kTick / 2;
    if (!due && interval == member.reported_interval) continue;
    this->SendTo(address, member, this->DetailFor(member));
  }
}

void HeartbeatSender::SendToAll() {
  for (auto& [address, member] : this->board.members) {
    this->SendTo(address, member, this->DetailFor(member));
  }
}

void HeartbeatSender::Greet(const std::string& address) {
  const auto member = this->board.members.find(address);
  if (member == this->board.members.end()) return;
  this->SendTo(address, member->second, this->DetailFor(member->second));
}

void HeartbeatSender::SendTo(const std::string& address,
                             ClusterBoard::Member& member, Detail detail) {
  wire::Envelope envelope;
  wire::MemberHeartbeat& beat = *envelope.mutable_member_heartbeat();
  this->hooks.describe(beat);
  beat.set_hears_receiver(member.live);
  beat.set_partial(detail == Detail::kChanged);
  member.reported_interval = this->IntervalTo(member);
  member.last_sent = this->clock.Now();
  beat.set_interval_ms(
      static_cast<std::uint32_t>(member.reported_interval / milliseconds(1)));
  if (this->held_source) this->held_source(beat, detail);
  if (!member.live || this->ticks % kGossipTicks == 0) {
    for (const auto& [peer, other] : this->board.members) {
      if (other.live) beat.add_peers(peer);
    }
  }
  this->hooks.send(address, std::move(envelope));
}

void HeartbeatSender::MarkChanged() {
  const bool somebody_wants = std::any_of(
      this->board.members.begin(), this->board.members.end(),
      [this](const auto& item) {
        return this->IsNewsTarget(item.second) && item.second.last.wanting();
      });
  if (this->news_timer.IsActive() && (this->news_urgent || !somebody_wants)) {
    return;
  }
  this->news_urgent = somebody_wants;
  this->news_timer.StartOnce(somebody_wants ? kUrgentNewsDelay : kNewsDelay,
                             [this] { this->SendNews(); });
}

void HeartbeatSender::SendNews() {
  wire::Envelope envelope;
  wire::MemberHeartbeat& beat = *envelope.mutable_member_heartbeat();
  this->hooks.describe(beat);
  beat.set_partial(true);
  beat.set_hears_receiver(true);
  beat.set_interval_ms(
      static_cast<std::uint32_t>(kCloseInterval / milliseconds(1)));
  if (this->held_source) this->held_source(beat, Detail::kChanged);
  for (const auto& [address, member] : this->board.members) {
    if (this->IsNewsTarget(member)) this->hooks.send(address, envelope);
  }
}

void HeartbeatSender::TellWanting() {
  const base::TimePoint now = this->clock.Now();
  if (!this->board.tasks_waiting || now - this->last_want < kWantInterval)
    return;
  this->last_want = now;
  this->SendNews();
}

}  // namespace hawthornwheel::cluster
