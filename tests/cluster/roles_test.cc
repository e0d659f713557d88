#include "cluster/roles.h"

#include <gtest/gtest.h>

#include <string>

#include "cluster/cluster_board.h"

namespace hawthornwheel::testing {
namespace {

class RolesTest : public ::testing::Test {
 protected:
  RolesTest() {
    this->board.self.set_domain("north");
    this->board.self.set_peer_address("self");
    this->board.self.set_weight(30);
    this->board.membership_known = true;
  }

  cluster::ClusterBoard::Member& Add(const std::string& address,
                                     const std::string& domain,
                                     std::uint32_t weight) {
    cluster::ClusterBoard::Member& member = this->board.members[address];
    member.announce.set_domain(domain);
    member.announce.set_peer_address(address);
    member.announce.set_weight(weight);
    member.live = true;
    return member;
  }

  cluster::ClusterBoard board;
};

TEST_F(RolesTest, ProcessesWithHalfOfMaxWeightCoordinate) {
  this->Add("strong", "north", 50);
  this->Add("half", "north", 25);
  this->Add("weak", "north", 24);
  cluster::RefreshRoles(this->board);
  EXPECT_TRUE(this->board.is_coordinator);
  EXPECT_TRUE(this->board.members["strong"].is_coordinator);
  EXPECT_TRUE(this->board.members["half"].is_coordinator);
  EXPECT_FALSE(this->board.members["weak"].is_coordinator);
}

TEST_F(RolesTest, LeavingCoordinatorIsReplacedByRemainingProcess) {
  this->Add("strong", "north", 100);
  cluster::RefreshRoles(this->board);
  EXPECT_FALSE(this->board.is_coordinator);
  this->board.members["strong"].last.set_leaving(true);
  EXPECT_TRUE(cluster::RefreshRoles(this->board));
  EXPECT_TRUE(this->board.is_coordinator);
  EXPECT_FALSE(this->board.members["strong"].is_coordinator);
}

TEST_F(RolesTest, WeightsOfOtherDomainsAreIgnored) {
  this->Add("far", "south", 1'000).last.set_coordinates(true);
  cluster::RefreshRoles(this->board);
  EXPECT_TRUE(this->board.is_coordinator);
  EXPECT_TRUE(this->board.members["far"].is_coordinator);
}

TEST_F(RolesTest, UnsettledProcessTakesNoRole) {
  this->board.membership_known = false;
  EXPECT_FALSE(cluster::RefreshRoles(this->board));
  EXPECT_FALSE(this->board.is_coordinator);
}

TEST_F(RolesTest, ReportsWhetherRoleHasChanged) {
  EXPECT_TRUE(cluster::RefreshRoles(this->board));
  EXPECT_FALSE(cluster::RefreshRoles(this->board));
  this->Add("strong", "north", 100);
  EXPECT_TRUE(cluster::RefreshRoles(this->board));
  EXPECT_FALSE(cluster::RefreshRoles(this->board));
}

}  // namespace
}  // namespace hawthornwheel::testing
