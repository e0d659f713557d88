#include "cluster/membership_discovery.h"

#include <algorithm>

#include "cluster/cluster_board.h"
#include "cluster/roles.h"

namespace hawthornwheel::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A process that cannot read the members in the store within this time relies
// on the seeds and on the processes that discover it.
constexpr base::Duration kMembersReadTimeout = milliseconds(1'500);
// Time after the first read of the members in which a stronger member of the
// domain that is alive is heard, also when all processes start at once and the
// VM of this one is slow.
constexpr base::Duration kStrongerMemberTime = seconds(1);

}  // namespace

MembershipDiscovery::MembershipDiscovery(const ClusterBoard& board,
                                         base::TimePoint now)
    : board(board), started(now), unknown_until(now + kHeartbeatTime) {}

void MembershipDiscovery::OnMembersRead(base::TimePoint now) {
  this->members_read = true;
  this->members_read_at = now;
  this->unknown_until = now + kHeartbeatTime;
}

void MembershipDiscovery::AwaitHeartbeats(base::TimePoint now) {
  this->unknown_until = std::max(this->unknown_until, now + kHeartbeatTime);
}

bool MembershipDiscovery::IsKnown(base::TimePoint now) const {
  if (now < this->unknown_until) return false;
  if (!this->members_read) return now >= this->started + kMembersReadTimeout;
  return !this->AwaitsStrongerMember(now);
}

// After a loss of power all processes of a domain start at once. A weak one
// that had heard nobody by the end of kHeartbeatTime took the role of a
// coordinator, claimed all endpoints of the domain, and fenced off the strong
// ones.
bool MembershipDiscovery::AwaitsStrongerMember(base::TimePoint now) const {
  if (now >= this->members_read_at + kStrongerMemberTime) return false;
  const wire::MemberAnnounce& self = this->board.self;
  return std::any_of(
      this->board.members.begin(), this->board.members.end(),
      [&self](const auto& item) {
        const ClusterBoard::Member& member = item.second;
        return !member.live && member.listed.domain() == self.domain() &&
               IsEntryBeside(self.weight(), member.listed.weight());
      });
}

}  // namespace hawthornwheel::cluster
