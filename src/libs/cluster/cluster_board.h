#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/peer.pb.h"

namespace hawthornwheel::cluster {

/// Blackboard of the processes that serve together. ClusterController writes
/// it.
struct ClusterBoard {
  /// What is known of another process.
  struct Member {
    wire::MemberAnnounce announce;
    /// Empty until its first heartbeat.
    wire::MemberHeartbeat last;
    base::TimePoint first_known;
    base::TimePoint last_heard;
    bool live = false;
    /// Set when it is not live and no sign of it in the store contradicts.
    /// Until then it may still hold its endpoints behind a partition.
    bool gone = true;
    /// Newest record of it in the store, and when it was read.
    std::uint64_t sign_offset = 0;
    base::TimePoint last_sign;
  };

  wire::MemberAnnounce self;
  /// Set once a planned stop has begun.
  bool leaving = false;
  /// Whether tasks of this process wait for room anywhere.
  bool wanting = false;
  /// Others by peer address.
  std::map<std::string, Member> members;

  /// Whether `member` hears this process, by its own word. A way that is cut
  /// in one direction takes no placements.
  bool IsHeardBy(const Member& member) const {
    const auto& peers = member.last.peers();
    return std::find(peers.begin(), peers.end(), this->self.peer_address()) !=
           peers.end();
  }

  /// Live member at `address`, or null.
  const Member* FindLive(const std::string& address) const {
    const auto found = this->members.find(address);
    if (found == this->members.end() || !found->second.live) return nullptr;
    return &found->second;
  }
};

}  // namespace hawthornwheel::cluster
