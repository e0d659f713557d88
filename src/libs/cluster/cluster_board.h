#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "cluster/held_endpoint.h"
#include "wire/peer.pb.h"

namespace hawthornwheel::cluster {

/// Blackboard of the processes that serve together. ClusterController writes
/// it.
struct ClusterBoard {
  /// What is known of another process.
  struct Member {
    wire::MemberAnnounce announce;
    /// Latest heartbeat; empty until the first. Its list of endpoints is moved
    /// to `held`.
    wire::MemberHeartbeat last;
    /// Endpoints that it tells of, by id: all that it holds where both are of
    /// one domain, else those with room and those of foreign domains.
    std::map<std::string, HeldEndpoint> held;
    base::TimePoint first_known;
    base::TimePoint last_heard;
    bool live = false;
    /// Set when it is not live and no sign of it in the store contradicts.
    /// Until then it may still hold its endpoints behind a partition.
    bool gone = true;
    /// Whether it has no dealings with this process: an entry of another
    /// domain, or any process there while this one is an entry.
    bool unrelated = false;
    /// Whether it holds endpoints; see RefreshRoles().
    bool coordinates = false;
    /// When there were dealings with it last.
    base::TimePoint last_related;
    /// Newest record of it in the store, and when it was read.
    std::uint64_t record_offset = 0;
    base::TimePoint last_record_read;
    /// When the latest heartbeat went to it, and the interval that it told.
    base::TimePoint last_sent;
    base::Duration reported_interval{0};
  };

  wire::MemberAnnounce self;
  /// Set once a planned stop has begun.
  bool leaving = false;
  /// Whether tasks of this process wait for room anywhere.
  bool tasks_waiting = false;
  /// Whether enough is known of the others to take a role.
  bool settled = false;
  /// Whether this process holds endpoints; see RefreshRoles().
  bool coordinates = false;
  /// Others by peer address.
  std::map<std::string, Member> members;

  bool IsSameDomain(const Member& member) const {
    return member.announce.domain() == this->self.domain();
  }

  /// Whether `member` hears this process, by its own word. A way that is cut
  /// in one direction takes no placements.
  static bool IsReceivedBy(const Member& member) {
    return member.last.hears_receiver();
  }

  /// Live member at `address`, or null.
  const Member* FindLive(const std::string& address) const {
    const auto found = this->members.find(address);
    if (found == this->members.end() || !found->second.live) return nullptr;
    return &found->second;
  }
};

}  // namespace hawthornwheel::cluster
