#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runs/endpoint_run.h"

namespace hawthornwheel::runs {

struct PollReply;

/// Task and number of a run.
using RunKey = std::pair<std::string, std::uint64_t>;

/// Runs that a session counts as using its endpoint.
using RunMap = std::map<RunKey, EndpointRun>;

/// Returns the runs whose start order is not sent yet.
std::vector<RunKey> HeldRuns(const RunMap& runs);

/// Returns the runs that were started by other processes.
std::vector<RunKey> ForeignRuns(const RunMap& runs);

/// Returns whether a run has a lease that polls renew.
bool HasLease(const RunMap& runs);

/// Returns the time by which the leases have to expire, since a run must have
/// ended by then whose stop is not confirmed; nothing if they may be renewed.
std::optional<base::TimePoint> LeaseLimit(const RunMap& runs);

/// Returns whether the leases are likely to expire at LeaseLimit().
bool IsAnyStopLost(const RunMap& runs);

/// Returns whether the progress of a run is read more often.
bool IsAnyWatched(const RunMap& runs, base::TimePoint now);

/// Returns whether the start order of a run carried the token `fence`.
bool HasStartUnder(const RunMap& runs, std::uint64_t fence);

/// Returns whether a start under the token `fence` has no answer and is no
/// longer waited for.
bool HasOverdueStart(const RunMap& runs, std::uint64_t fence);

/// Updates the runs that a list shows. Returns how those ended that it settles
/// by their absence. `fence` is the token of its poll, and
/// `incarnation_start_ms` the start of the incarnation that made it.
std::vector<std::pair<RunKey, EndpointRun::Settlement>> ApplyList(
    RunMap& runs, const PollReply& reply, std::uint64_t fence,
    std::int64_t incarnation_start_ms, base::Duration stop_time);

}  // namespace hawthornwheel::runs
