#include "runs/run_map.h"

#include <algorithm>
#include <set>

#include "runs/endpoint_orders.h"

namespace hawthornwheel::runs {
namespace {

using State = EndpointRun::State;

template <typename Predicate>
bool AnyRun(const RunMap& runs, Predicate matches) {
  return std::any_of(runs.begin(), runs.end(), [&matches](const auto& item) {
    return matches(item.second);
  });
}

template <typename Predicate>
std::vector<RunKey> Select(const RunMap& runs, Predicate matches) {
  std::vector<RunKey> selected;
  for (const auto& [key, run] : runs) {
    if (matches(run)) selected.push_back(key);
  }
  return selected;
}

}  // namespace

std::vector<RunKey> HeldRuns(const RunMap& runs) {
  return Select(
      runs, [](const EndpointRun& run) { return run.state == State::kHeld; });
}

std::vector<RunKey> ForeignRuns(const RunMap& runs) {
  return Select(runs, [](const EndpointRun& run) { return run.foreign; });
}

bool HasLease(const RunMap& runs) {
  return AnyRun(runs, [](const EndpointRun& run) {
    return !run.foreign && run.state != State::kStopping;
  });
}

std::optional<base::TimePoint> LeaseLimit(const RunMap& runs) {
  std::optional<base::TimePoint> limit;
  for (const auto& [key, run] : runs) {
    const auto of_run = run.LeaseLimit();
    if (of_run) limit = limit ? std::min(*limit, *of_run) : *of_run;
  }
  return limit;
}

bool IsAnyStopLost(const RunMap& runs) {
  return AnyRun(runs, [](const EndpointRun& run) {
    return run.end_by && run.IsStopLost();
  });
}

bool IsAnyWatched(const RunMap& runs, base::TimePoint now) {
  return AnyRun(runs,
                [now](const EndpointRun& run) { return run.IsWatched(now); });
}

bool HasStartUnder(const RunMap& runs, std::uint64_t fence) {
  return AnyRun(runs,
                [fence](const EndpointRun& run) { return run.fence == fence; });
}

bool HasOverdueStart(const RunMap& runs, std::uint64_t fence) {
  return AnyRun(runs, [fence](const EndpointRun& run) {
    return run.state == State::kStarting && !run.timer->IsActive() &&
           run.fence == fence;
  });
}

std::vector<std::pair<RunKey, EndpointRun::Settlement>> ApplyList(
    RunMap& runs, const PollReply& reply, std::uint64_t fence,
    std::int64_t incarnation_start_ms, base::Duration stop_time) {
  std::set<RunKey> present;
  for (const ActiveRun& reported : reply.running) {
    present.emplace(reported.task, reported.run);
  }
  std::vector<std::pair<RunKey, EndpointRun::Settlement>> settlements;
  for (auto& [key, run] : runs) {
    if (run.state == State::kHeld) continue;
    if (present.contains(key)) {
      run.OnListed(incarnation_start_ms);
      continue;
    }
    const auto settlement =
        run.SettlementIfAbsent(fence, reply.order.clock_ms, stop_time);
    if (settlement) settlements.emplace_back(key, *settlement);
  }
  return settlements;
}

}  // namespace hawthornwheel::runs
