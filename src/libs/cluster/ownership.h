#pragma once

#include <string>

#include "catalog/endpoint_entry.h"
#include "cluster/cluster_board.h"

namespace hawthornwheel::cluster {

/// Returns the peer address of the process that should hold `endpoint`, or an
/// empty string when no process may hold it. Uses weighted rendezvous hashing
/// over the coordinators of the endpoint's failure domain, or over all
/// coordinators when that domain has none.
std::string OwnerOf(const catalog::EndpointEntry& endpoint,
                    const ClusterBoard& board);

/// Returns whether another process holds `endpoint` according to its last
/// heartbeat. The holder may be live, or lost but possibly still running behind
/// a partition. A lost process of another domain counts as the holder of all
/// endpoints there, because it reports only some of them.
bool IsHeldByOther(const catalog::EndpointEntry& endpoint,
                   const ClusterBoard& board);

}  // namespace hawthornwheel::cluster
