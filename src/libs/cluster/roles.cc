#include "cluster/roles.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cluster/cluster_board.h"

namespace hawthornwheel::cluster {
namespace {

// Processes with at least the highest weight of their domain divided by this
// are coordinators. A coordinator does several times the work of an entry, so
// processes of similar weight share this work, and those of much lower weight
// do none of it.
constexpr std::uint32_t kCoordinatorFraction = 2;

bool IsCandidate(const ClusterBoard::Member& member) {
  return member.live && !member.last.leaving();
}

Coordinator DescriptionOf(const wire::MemberAnnounce& announce) {
  return {announce.peer_address(), announce.domain(), announce.weight()};
}

void RefreshCoordinators(ClusterBoard& board) {
  std::vector<Coordinator> coordinators;
  if (board.is_coordinator && !board.leaving) {
    coordinators.push_back(DescriptionOf(board.self));
  }
  for (const auto& [address, member] : board.members) {
    if (member.is_coordinator)
      coordinators.push_back(DescriptionOf(member.announce));
  }
  if (coordinators == board.coordinators) return;
  board.coordinators = std::move(coordinators);
  ++board.coordinators_revision;
}

}  // namespace

bool IsEntryBeside(std::uint32_t weight, std::uint32_t other) {
  return weight * kCoordinatorFraction < other;
}

bool RefreshRoles(ClusterBoard& board) {
  std::map<std::string, std::uint32_t> max_weights;
  const auto add_weight = [&max_weights](const wire::MemberAnnounce& announce) {
    std::uint32_t& weight = max_weights[announce.domain()];
    weight = std::max(weight, announce.weight());
  };
  if (!board.leaving) add_weight(board.self);
  for (const auto& [address, member] : board.members) {
    if (IsCandidate(member)) add_weight(member.announce);
  }
  const auto coordinates = [&max_weights](
                               const wire::MemberAnnounce& announce) {
    return !IsEntryBeside(announce.weight(), max_weights[announce.domain()]);
  };
  bool changed = false;
  const auto update = [&changed](bool& role, bool value) {
    changed = changed || role != value;
    role = value;
  };
  update(board.is_coordinator,
         board.membership_known && coordinates(board.self));
  for (auto& [address, member] : board.members) {
    // Entries of other domains send no heartbeats to this process, so the roles
    // there cannot be computed. The role in a member's own heartbeat applies.
    const bool role = board.IsSameDomain(member) ? coordinates(member.announce)
                                                 : member.last.coordinates();
    update(member.is_coordinator, IsCandidate(member) && role);
  }
  RefreshCoordinators(board);
  return changed;
}

}  // namespace hawthornwheel::cluster
