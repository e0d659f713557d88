// Checks which of two states of the evacuated failure domains wins.

#include "catalog/evacuations.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace hawthornwheel::catalog {
namespace {

using Domains = std::set<std::string>;

TEST(EvacuationsTest, RecordsChangeTheSetAndRaiseTheRevision) {
  Evacuations evacuations;
  evacuations.ApplyRecords({{"a", true, 3}, {"b", true, 4}}, 6);
  EXPECT_EQ(evacuations.Domains(), (Domains{"a", "b"}));
  EXPECT_EQ(evacuations.Revision(), 5U);
  EXPECT_EQ(evacuations.KnownOffset(), 6U);
  evacuations.ApplyRecords({{"a", false, 7}}, 8);
  EXPECT_EQ(evacuations.Domains(), Domains{"b"});
  EXPECT_EQ(evacuations.Revision(), 8U);
}

// Other records of the topic, and removals of keys that no process has seen,
// must not make processes exchange sets.
TEST(EvacuationsTest, RevisionStaysZeroWithoutEvacuation) {
  Evacuations evacuations;
  evacuations.ApplySnapshot({}, 5);
  evacuations.ApplyRecords({{"a", false, 5}}, 9);
  EXPECT_EQ(evacuations.Revision(), 0U);
}

// Guards against an old set that comes back: a late or repeated read of records
// and a snapshot of a replica that lags behind.
TEST(EvacuationsTest, OlderReadsHaveNoEffect) {
  Evacuations evacuations;
  evacuations.ApplyRecords({{"a", true, 3}}, 4);
  evacuations.ApplyRecords({{"a", false, 6}}, 7);
  evacuations.ApplyRecords({{"a", true, 3}}, 4);
  EXPECT_TRUE(evacuations.Domains().empty());
  evacuations.ApplySnapshot({"a"}, 5);
  EXPECT_TRUE(evacuations.Domains().empty());
  EXPECT_EQ(evacuations.KnownOffset(), 7U);
}

// Guards against an old set that comes back from a peer, also when this process
// has started after the removal and so has seen no evacuation.
TEST(EvacuationsTest, OlderSetOfPeerHasNoEffect) {
  Evacuations restarted;
  restarted.ApplySnapshot({}, 9);
  restarted.ApplyPeer({"a"}, 5);
  EXPECT_TRUE(restarted.Domains().empty());
  restarted.ApplyPeer({"a"}, 9);
  EXPECT_TRUE(restarted.Domains().empty());
  restarted.ApplyPeer({"a"}, 10);
  EXPECT_EQ(restarted.Domains(), Domains{"a"});
  EXPECT_EQ(restarted.Revision(), 10U);
}

// A process that has a set from a peer reads the records behind it later, for
// example when the store is reachable again.
TEST(EvacuationsTest, RecordsBehindTheSetOfPeerHaveNoEffect) {
  Evacuations evacuations;
  evacuations.ApplyPeer({"b"}, 8);
  evacuations.ApplyRecords({{"a", true, 3}, {"a", false, 5}, {"b", true, 7}},
                           8);
  EXPECT_EQ(evacuations.Domains(), Domains{"b"});
  EXPECT_EQ(evacuations.Revision(), 8U);
  evacuations.ApplyRecords({{"b", false, 8}}, 9);
  EXPECT_TRUE(evacuations.Domains().empty());
}

TEST(EvacuationsTest, SnapshotRemovesDomainsThatItDoesNotList) {
  Evacuations evacuations;
  evacuations.ApplyRecords({{"a", true, 3}, {"b", true, 4}}, 5);
  evacuations.ApplySnapshot({"b"}, 12);
  EXPECT_EQ(evacuations.Domains(), Domains{"b"});
  EXPECT_EQ(evacuations.Revision(), 12U);
}

// Guards against a peer without access to the store that never learns of an
// evacuation which a snapshot had shown too early: the key was written between
// two pages, after the end offset of the first one.
TEST(EvacuationsTest, RecordThatSnapshotHadShownRaisesTheRevision) {
  Evacuations reader;
  reader.ApplySnapshot({"a"}, 10);
  Evacuations peer;
  peer.ApplyRecords({{"b", true, 8}, {"b", false, 9}}, 10);
  reader.ApplyRecords({{"a", true, 12}}, 13);
  EXPECT_EQ(reader.Revision(), 13U);
  peer.ApplyPeer(reader.Domains(), reader.Revision());
  EXPECT_EQ(peer.Domains(), Domains{"a"});
}

// Guards against a peer without access to the store that keeps a set which was
// removed before all other processes started: they have seen no evacuation.
TEST(EvacuationsTest, OutdatedPeerIsSuperseded) {
  Evacuations outdated;
  outdated.ApplyRecords({{"a", true, 3}}, 4);
  Evacuations restarted;
  restarted.ApplySnapshot({}, 9);
  EXPECT_EQ(restarted.Revision(), 0U);
  restarted.Supersede(outdated.Revision());
  EXPECT_EQ(restarted.Revision(), 9U);
  outdated.ApplyPeer(restarted.Domains(), restarted.Revision());
  EXPECT_TRUE(outdated.Domains().empty());
}

TEST(EvacuationsTest, NewerPeerIsNotSuperseded) {
  Evacuations evacuations;
  evacuations.ApplySnapshot({}, 9);
  evacuations.Supersede(9);
  evacuations.Supersede(12);
  evacuations.Supersede(0);
  EXPECT_EQ(evacuations.Revision(), 0U);
}

}  // namespace
}  // namespace hawthornwheel::catalog
