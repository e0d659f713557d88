// Load pattern: all processes of a domain start at once after a loss of power,
// and callers are waiting. Strong processes must claim the endpoints as soon as
// they know each other, and weak ones must not claim them meanwhile.

#include "cluster/membership_discovery.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "cluster/cluster_board.h"

namespace hawthornwheel::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kStrongWeight = 50;
constexpr std::uint32_t kWeakWeight = 12;
constexpr base::TimePoint kStart{seconds(100)};
constexpr base::TimePoint kHeartbeatsArrived =
    kStart + MembershipDiscovery::kHeartbeatTime;

class MembershipDiscoveryTest : public ::testing::Test {
 protected:
  MembershipDiscoveryTest() { this->board.self.set_domain("north"); }

  // Adds a member that the store lists and that was not heard yet.
  ClusterBoard::Member& AddListed(const std::string& domain,
                                  std::uint32_t weight) {
    ClusterBoard::Member& member = this->board.members["10.0.0.1:1"];
    member.listed.set_domain(domain);
    member.listed.set_weight(weight);
    return member;
  }

  ClusterBoard board;
  MembershipDiscovery discovery{this->board, kStart};
};

// Guards against a weak process that claims all endpoints of its domain, since
// it is too slow to hear the strong ones within the first heartbeats.
TEST_F(MembershipDiscoveryTest, WeakProcessWaitsForStrongerListedMember) {
  this->board.self.set_weight(kWeakWeight);
  ClusterBoard::Member& strong = this->AddListed("north", kStrongWeight);
  this->discovery.OnMembersRead(kStart);
  EXPECT_FALSE(this->discovery.IsKnown(kHeartbeatsArrived));
  strong.live = true;
  EXPECT_TRUE(this->discovery.IsKnown(kHeartbeatsArrived));
}

// Guards against a domain without a coordinator when the strong processes do
// not come back.
TEST_F(MembershipDiscoveryTest, WeakProcessTakesOverWhenStrongerOnesAreSilent) {
  this->board.self.set_weight(kWeakWeight);
  this->AddListed("north", kStrongWeight);
  this->discovery.OnMembersRead(kStart);
  EXPECT_FALSE(this->discovery.IsKnown(kStart + milliseconds(999)));
  EXPECT_TRUE(this->discovery.IsKnown(kStart + seconds(1)));
}

// Guards against a slower recovery of the processes that serve the callers.
TEST_F(MembershipDiscoveryTest, StrongProcessDoesNotWaitForWeakOnes) {
  this->board.self.set_weight(kStrongWeight);
  this->AddListed("north", kWeakWeight);
  this->discovery.OnMembersRead(kStart);
  EXPECT_FALSE(this->discovery.IsKnown(kHeartbeatsArrived - milliseconds(1)));
  EXPECT_TRUE(this->discovery.IsKnown(kHeartbeatsArrived));
}

// A process of another domain does not take the role of one of this domain.
TEST_F(MembershipDiscoveryTest, StrongerMemberOfOtherDomainIsNotAwaited) {
  this->board.self.set_weight(kWeakWeight);
  this->AddListed("south", kStrongWeight);
  this->discovery.OnMembersRead(kStart);
  EXPECT_TRUE(this->discovery.IsKnown(kHeartbeatsArrived));
}

// Guards against processes that wait for ever for an unreachable store.
TEST_F(MembershipDiscoveryTest, UnreadMembersAreAwaitedForALimitedTime) {
  EXPECT_FALSE(this->discovery.IsKnown(kHeartbeatsArrived));
  EXPECT_TRUE(this->discovery.IsKnown(kStart + milliseconds(1'500)));
}

}  // namespace
}  // namespace hawthornwheel::cluster
