#pragma once

#include <chrono>

#include "base/clock.h"

namespace hawthornwheel::cluster {

struct ClusterBoard;

/// Decides when a process knows enough about the others to take a role and to
/// claim endpoints: after its start, after a pause, and after a change of its
/// role.
class MembershipDiscovery {
 public:
  /// `board` must outlive the object.
  MembershipDiscovery(const ClusterBoard& board, base::TimePoint now);

  /// Records the first read of the members in the store, from which on they are
  /// sent heartbeats.
  void OnMembersRead(base::TimePoint now);

  /// Waits for one more round of heartbeats: this process was paused, or the
  /// others have told it nothing so far because of its role.
  void AwaitHeartbeats(base::TimePoint now);

  bool HasReadMembers() const { return this->members_read; }

  /// Returns whether the membership is known.
  bool IsKnown(base::TimePoint now) const;

  /// Time in which the members answer a heartbeat of this process, and one
  /// further heartbeat of each arrives.
  static constexpr base::Duration kHeartbeatTime =
      std::chrono::milliseconds(250);

 private:
  bool AwaitsStrongerMember(base::TimePoint now) const;

  const ClusterBoard& board;
  base::TimePoint started;
  base::TimePoint unknown_until;
  bool members_read = false;
  base::TimePoint members_read_at;
};

}  // namespace hawthornwheel::cluster
