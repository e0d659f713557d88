#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "catalog/endpoint_entry.h"
#include "cluster/cluster_board.h"

namespace hawthornwheel::cluster {

/// Determines which process should hold an endpoint, and whether another
/// process holds it. Remembers each owner until the coordinators change.
class EndpointOwners {
 public:
  /// `board` must outlive the object.
  explicit EndpointOwners(const ClusterBoard& board);

  /// Returns the peer address of the process that should hold `endpoint`, or an
  /// empty string when no process may hold it. Uses weighted rendezvous hashing
  /// over the coordinators of the endpoint's failure domain, or over all
  /// coordinators when that domain has none.
  const std::string& OwnerOf(const catalog::EndpointEntry& endpoint);

  /// Returns whether another process holds `endpoint` according to its last
  /// heartbeat. The holder may be live, or lost but possibly still running
  /// behind a partition. A lost process of another domain counts as the holder
  /// of all endpoints there, because it reports only some of them.
  bool IsHeldByOther(const catalog::EndpointEntry& endpoint) const;

  /// Returns how often a coordinator was scored for an endpoint.
  std::uint64_t ScoreCount() const { return this->score_count; }

 private:
  struct Owner {
    /// Failure domain of the endpoint.
    std::string domain;
    std::string address;
  };

  /// Returns the owner among the coordinators of `domain`, or among all of them
  /// when it is empty.
  std::string ChooseOwner(const std::string& endpoint_id,
                          const std::string& domain);

  const ClusterBoard& board;
  /// Owners by endpoint id, valid for `revision` of the coordinators.
  std::unordered_map<std::string, Owner> owners;
  std::uint64_t revision = 0;
  std::uint64_t score_count = 0;
};

}  // namespace hawthornwheel::cluster
