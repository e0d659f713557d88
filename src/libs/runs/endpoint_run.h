#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/timer.h"
#include "runs/run_progress.h"
#include "runs/settled_runs.h"
#include "runs/task_order.h"

namespace hawthornwheel::runs {

/// Holds what a session knows about one run at its endpoint.
struct EndpointRun {
  enum class State {
    /// The start order is not sent before the endpoint has listed its runs, so
    /// that a restart of an idle endpoint is noticed first.
    kHeld,
    kStarting,
    kRunning,
    kStopping,
  };

  /// Outcome of a run whose end was not reported.
  struct Settlement {
    RunOutcome outcome;
    SettlementEvidence evidence;
  };

  /// Returns whether the run's progress is read more often.
  bool IsWatched(base::TimePoint now) const;

  /// Records that the endpoint has accepted the start. Its incarnation is 0
  /// when the answer names none.
  void OnAccepted(std::int64_t reported_start_ms);

  /// Records that a list of runs shows the run, made by the endpoint's
  /// incarnation of this start in Unix milliseconds.
  void OnListed(std::int64_t listed_start_ms);

  /// Returns the outcome of a run that is absent from a list under the token
  /// `list_fence`; nothing if the list does not settle the run.
  std::optional<RunOutcome> OutcomeIfAbsent(std::uint64_t list_fence) const;

  /// Returns how a run ended that is absent from a list under `list_fence`,
  /// made at `list_clock_ms`; nothing if the list does not settle it.
  std::optional<Settlement> SettlementIfAbsent(std::uint64_t list_fence,
                                               std::int64_t list_clock_ms,
                                               base::Duration stop_time) const;

  /// Returns whether a run that is absent from a list must have stopped.
  /// `list_clock_ms` is the endpoint's clock in milliseconds at the list.
  bool HasStoppedBy(std::int64_t list_clock_ms, base::Duration stop_time) const;

  /// Returns the time by which the leases at the endpoint have to expire for
  /// the sake of this run; nothing if they may be renewed. A confirmed stop
  /// ends the run without that.
  std::optional<base::TimePoint> LeaseLimit() const;

  /// Returns whether so many stop orders have no answer that the next ones will
  /// probably have none either.
  bool IsStopLost() const;

  /// Returns the time at which the run is expected to end at an endpoint of
  /// pace `pace`: by its progress, or by its declared run time. An end that has
  /// not come when it was expected lies ahead by a share of the run's age.
  base::TimePoint ExpectedEnd(base::TimePoint now, double pace,
                              base::Duration stop_time) const;

  /// Records that the endpoint has restarted. Returns whether the run is lost;
  /// otherwise, either incarnation may have carried out its start.
  bool OnRestart();

  State state = State::kStarting;
  TaskOrder order;
  RunHandlers handlers;
  /// Whether another process started the run; its resource needs are unknown.
  bool foreign = false;
  /// Fencing token of its start order.
  std::uint64_t fence = 0;
  /// Number of its start order in this session.
  std::uint64_t start_number = 0;
  /// Time at which the start order was sent, or the run was held.
  base::TimePoint started;
  /// Time after which its result is of no use to the caller.
  base::TimePoint deadline;
  RunProgress progress{{}};
  /// Total run time that the latest progress leads to; empty before a reading.
  std::optional<base::Duration> projected;
  bool overdue = false;
  bool start_answered = false;
  /// Start of the endpoint's incarnation that has the run, in Unix
  /// milliseconds; 0 while unknown. An accepted start alone does not tell it.
  std::int64_t incarnation_start_ms = 0;
  /// The endpoint restarted while the incarnation was unknown, so either one
  /// may have carried out the start.
  bool overtaken_by_restart = false;
  /// Endpoint's clock in milliseconds when it accepted the stop; 0 before.
  std::int64_t stop_clock_ms = 0;
  /// Time at which the run was first ordered to stop; empty before.
  std::optional<base::TimePoint> stop_requested;
  /// Number of stop orders that were sent.
  int stop_orders = 0;
  /// Time by which the run must have ended; empty for none.
  std::optional<base::TimePoint> end_by;
  std::unique_ptr<base::Timer> timer;
};

/// Returns the time at which the next of `runs` is expected to end at an
/// endpoint of pace `pace`, by task and run number. Nothing when there is none,
/// or when one was started by another process, so that its run time is unknown.
std::optional<base::TimePoint> NextEnd(
    const std::map<std::pair<std::string, std::uint64_t>, EndpointRun>& runs,
    base::TimePoint now, double pace, base::Duration stop_time);

}  // namespace hawthornwheel::runs
