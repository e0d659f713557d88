#include "cluster/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace hawthornwheel::cluster {
namespace {

// Weighted rendezvous hashing: -weight / ln(u) with u uniform in (0, 1).
double Score(const std::string& endpoint_id,
             const wire::MemberAnnounce& member) {
  const std::string& address = member.peer_address();
  const std::uint64_t hash = XXH64(endpoint_id.data(), endpoint_id.size(),
                                   XXH64(address.data(), address.size(), 0));
  constexpr double kRange = 18446744073709551616.0;  // 2 to the 64
  const double uniform = (static_cast<double>(hash) + 0.5) / kRange;
  const double weight = std::max<double>(member.weight(), 1);
  return -weight / std::log(std::min(uniform, 1 - 1e-12));
}

// Keeps the member with the highest score.
class BestOwner {
 public:
  void Consider(const std::string& endpoint_id,
                const wire::MemberAnnounce& member) {
    const double score = Score(endpoint_id, member);
    if (score <= this->best) return;
    this->best = score;
    this->address = member.peer_address();
  }

  double best = 0;
  std::string address;
};

}  // namespace

std::string OwnerOf(const catalog::EndpointEntry& endpoint,
                    const ClusterBoard& board) {
  BestOwner same_domain;
  BestOwner any_domain;
  const auto consider = [&](const wire::MemberAnnounce& member) {
    any_domain.Consider(endpoint.id, member);
    if (member.domain() == endpoint.domain)
      same_domain.Consider(endpoint.id, member);
  };
  if (!board.leaving && board.is_coordinator) consider(board.self);
  for (const auto& [address, member] : board.members) {
    if (member.is_coordinator) consider(member.announce);
  }
  return same_domain.address.empty() ? any_domain.address : same_domain.address;
}

bool IsHeldByOther(const catalog::EndpointEntry& endpoint,
                   const ClusterBoard& board) {
  const bool outside = endpoint.domain != board.self.domain();
  for (const auto& [address, member] : board.members) {
    if (member.presumed_gone) continue;
    if (member.held.contains(endpoint.id)) return true;
    const bool may_hold =
        outside && !member.live && member.announce.domain() == endpoint.domain;
    if (may_hold) return true;
  }
  return false;
}

}  // namespace hawthornwheel::cluster
