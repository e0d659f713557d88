#include "cluster/endpoint_owners.h"

#include <cstddef>

#include "cluster/rendezvous.h"

namespace hawthornwheel::cluster {
namespace {

// Number of remembered owners at which all are dropped, since endpoints that
// have left the catalog are not removed one by one.
constexpr std::size_t kMaxRememberedOwners = 65'536;

}  // namespace

EndpointOwners::EndpointOwners(const ClusterBoard& board) : board(board) {}

const std::string& EndpointOwners::OwnerOf(
    const catalog::EndpointEntry& endpoint) {
  if (this->revision != this->board.coordinators_revision ||
      this->owners.size() >= kMaxRememberedOwners) {
    this->owners.clear();
    this->revision = this->board.coordinators_revision;
  }
  const auto [found, added] = this->owners.try_emplace(endpoint.id);
  Owner& owner = found->second;
  if (!added && owner.domain == endpoint.domain) return owner.address;
  owner.domain = endpoint.domain;
  owner.address = this->ChooseOwner(endpoint.id, endpoint.domain);
  if (owner.address.empty()) owner.address = this->ChooseOwner(endpoint.id, {});
  return owner.address;
}

std::string EndpointOwners::ChooseOwner(const std::string& endpoint_id,
                                        const std::string& domain) {
  std::string owner;
  double best = 0;
  for (const Coordinator& coordinator : this->board.coordinators) {
    if (!domain.empty() && coordinator.domain != domain) continue;
    ++this->score_count;
    const double score =
        RendezvousScore(endpoint_id, coordinator.address, coordinator.weight);
    if (score <= best) continue;
    best = score;
    owner = coordinator.address;
  }
  return owner;
}

bool EndpointOwners::IsHeldByOther(
    const catalog::EndpointEntry& endpoint) const {
  const bool outside = endpoint.domain != this->board.self.domain();
  for (const auto& [address, member] : this->board.members) {
    if (member.presumed_gone) continue;
    if (member.held.contains(endpoint.id)) return true;
    const bool may_hold =
        outside && !member.live && member.announce.domain() == endpoint.domain;
    if (may_hold) return true;
  }
  return false;
}

}  // namespace hawthornwheel::cluster
