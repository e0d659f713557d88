#pragma once

#include <cstdint>

namespace hawthornwheel::cluster {

struct ClusterBoard;

/// Assigns the roles of all processes and returns whether a role has changed.
/// Processes with at least half of the highest weight among the live processes
/// of their domain are coordinators: they hold the endpoints and run the jobs
/// of the domain. The other processes are entries, which hand over the jobs of
/// their callers to a coordinator. When the processes with the highest weights
/// are lost, those with the next highest weights become coordinators. Also
/// updates `coordinators` of the board.
bool RefreshRoles(ClusterBoard& board);

/// Returns whether a process of weight `weight` is an entry while a process of
/// its domain with weight `other` is live.
bool IsEntryBeside(std::uint32_t weight, std::uint32_t other);

}  // namespace hawthornwheel::cluster
