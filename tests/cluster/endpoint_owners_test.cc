// Checks the assignment of endpoints to coordinators, and that a large fleet at
// rest computes no assignment twice.

#include "cluster/endpoint_owners.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>

#include "cluster/roles.h"
#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::seconds;

constexpr int kDomains = 5;
constexpr int kCoordinatorsPerDomain = 5;
constexpr int kEndpoints = 370;
constexpr std::uint32_t kWeight = 50;

std::string DomainName(int index) { return "d" + std::to_string(index); }

class EndpointOwnersTest : public ::testing::Test {
 protected:
  EndpointOwnersTest() : owners(this->board) {
    this->board.membership_known = true;
    this->board.self.set_domain(DomainName(0));
    this->board.self.set_peer_address("self");
    this->board.self.set_weight(kWeight);
    for (int domain = 0; domain < kDomains; ++domain) {
      const int others = kCoordinatorsPerDomain - (domain == 0 ? 1 : 0);
      for (int i = 0; i < others; ++i) this->AddMember(domain, i);
    }
    cluster::RefreshRoles(this->board);
  }

  void AddMember(int domain, int index) {
    const std::string address =
        DomainName(domain) + "-p" + std::to_string(index);
    cluster::ClusterBoard::Member& member = this->board.members[address];
    member.announce.set_domain(DomainName(domain));
    member.announce.set_peer_address(address);
    member.announce.set_weight(kWeight);
    member.last.set_coordinates(true);
    member.live = true;
  }

  // Marks all members of a domain as lost.
  void LoseDomain(const std::string& domain) {
    for (auto& [address, member] : this->board.members) {
      if (member.announce.domain() == domain) member.live = false;
    }
    cluster::RefreshRoles(this->board);
  }

  std::map<std::string, std::string> AllOwners() {
    std::map<std::string, std::string> result;
    for (int i = 0; i < kEndpoints; ++i) {
      catalog::EndpointEntry entry;
      entry.id = "e" + std::to_string(i);
      entry.domain = DomainName(i % kDomains);
      result[entry.id] = this->owners.OwnerOf(entry);
    }
    return result;
  }

  std::string DomainOf(const std::string& address) {
    if (address == "self") return this->board.self.domain();
    return this->board.members.at(address).announce.domain();
  }

  cluster::ClusterBoard board;
  cluster::EndpointOwners owners;
};

TEST_F(EndpointOwnersTest, OwnerIsInDomainOfEndpoint) {
  int index = 0;
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string id = "e" + std::to_string(i);
    EXPECT_EQ(this->DomainOf(this->AllOwners().at(id)),
              DomainName(index++ % kDomains));
  }
}

// Guards against work that grows with the cube of the fleet: each of many
// heartbeats per second scored every endpoint for every process.
TEST_F(EndpointOwnersTest, OwnersAreScoredOnceWhileCoordinatorsStay) {
  const auto first = this->AllOwners();
  const std::uint64_t scored = this->owners.ScoreCount();
  EXPECT_EQ(scored, std::uint64_t{kEndpoints * kCoordinatorsPerDomain});
  for (int i = 0; i < 100; ++i) {
    this->board.members.begin()->second.last_heard += seconds(1);
    cluster::RefreshRoles(this->board);
    EXPECT_EQ(this->AllOwners(), first);
  }
  EXPECT_EQ(this->owners.ScoreCount(), scored);
}

TEST_F(EndpointOwnersTest, OnlyEndpointsOfLostCoordinatorMove) {
  const auto before = this->AllOwners();
  this->board.members.at("d1-p0").live = false;
  cluster::RefreshRoles(this->board);
  const auto after = this->AllOwners();
  for (const auto& [id, owner] : before) {
    if (owner == "d1-p0") {
      EXPECT_NE(after.at(id), owner);
      EXPECT_EQ(this->DomainOf(after.at(id)), DomainName(1));
    } else {
      EXPECT_EQ(after.at(id), owner);
    }
  }
}

TEST_F(EndpointOwnersTest, ChangedWeightChangesOwners) {
  const auto before = this->AllOwners();
  this->board.members.at("d1-p0").announce.set_weight(kWeight * 2);
  cluster::RefreshRoles(this->board);
  EXPECT_NE(this->AllOwners(), before);
}

TEST_F(EndpointOwnersTest, EndpointsOfLostDomainAreOwnedElsewhere) {
  this->LoseDomain(DomainName(2));
  for (const auto& [id, owner] : this->AllOwners()) {
    ASSERT_FALSE(owner.empty()) << id;
    EXPECT_NE(this->DomainOf(owner), DomainName(2));
  }
}

TEST_F(EndpointOwnersTest, LeavingProcessOwnsNothing) {
  this->board.leaving = true;
  cluster::RefreshRoles(this->board);
  for (const auto& [id, owner] : this->AllOwners()) EXPECT_NE(owner, "self");
}

TEST_F(EndpointOwnersTest, EndpointThatMovesToAnotherDomainHasAnotherOwner) {
  catalog::EndpointEntry entry;
  entry.id = "e";
  entry.domain = DomainName(1);
  EXPECT_EQ(this->DomainOf(this->owners.OwnerOf(entry)), DomainName(1));
  entry.domain = DomainName(3);
  EXPECT_EQ(this->DomainOf(this->owners.OwnerOf(entry)), DomainName(3));
}

// Load pattern: a fleet under load whose membership does not change.
TEST(EndpointOwnersFleetTest, HeartbeatsAndJobsDoNotChangeCoordinators) {
  HostedFleet fleet;
  fleet.Publish("1 /a/:1");
  for (int domain = 0; domain < 3; ++domain) {
    for (int i = 0; i < 4; ++i) {
      fleet.AddEndpoint(DomainName(domain) + "-e" + std::to_string(i),
                        DomainName(domain));
      fleet.AddProcess(DomainName(domain) + "-p" + std::to_string(i),
                       DomainName(domain), kWeight);
    }
  }
  fleet.Run(seconds(5));
  const auto revision = [&fleet] {
    return fleet.Process("d0-p0").cluster.Board().coordinators_revision;
  };
  const std::uint64_t before = revision();
  for (int i = 0; i < 40; ++i) {
    fleet.Submit("d0-p0", "/a/", 2, std::chrono::milliseconds(100));
    fleet.Run(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(revision(), before);
}

}  // namespace
}  // namespace hawthornwheel::testing
