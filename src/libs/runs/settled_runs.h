#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "runs/task_order.h"

namespace hawthornwheel::runs {

struct ActiveRun;

/// Why a session counts a run as ended without a report of its end.
enum class SettlementEvidence {
  /// A list of runs under a higher fencing token does not show the run.
  kAbsentFromList,
  /// The endpoint has refused the start order.
  kStartRefused,
  /// The start order could not be sent.
  kStartNotSent,
  /// The endpoint has accepted a stop, and a list made after the stop time does
  /// not show the run.
  kStopTimePassed,
  /// The lease has expired.
  kLeaseExpired,
  /// The endpoint has restarted.
  kEndpointRestarted,
  /// Another endpoint answers at the address.
  kEndpointReplaced,
};

/// Returns the name for logs and metrics.
const char* NameOf(SettlementEvidence evidence);

/// Remembers the runs that a session has settled, so that one which its
/// endpoint lists later is recognised. Such a run shows that the evidence was
/// wrong, and that its task may be at work twice.
class SettledRuns {
 public:
  struct Settlement {
    RunOutcome outcome = RunOutcome::kLost;
    SettlementEvidence evidence = SettlementEvidence::kAbsentFromList;
    /// Fencing token of the start order.
    std::uint64_t order_fence = 0;
    /// Fencing token of the session when the run was settled.
    std::uint64_t fence = 0;
    base::TimePoint time;
  };

  /// List of runs in progress.
  struct List {
    base::TimePoint time;
    /// Fencing token of its poll.
    std::uint64_t fence = 0;
    /// Start of the endpoint's incarnation in Unix milliseconds.
    std::int64_t incarnation_start_ms = 0;
  };

  void Add(const std::string& task, std::uint64_t run,
           const Settlement& settlement);

  /// Returns the settlement of a run, or nothing when it is unknown or was
  /// forgotten.
  std::optional<Settlement> Find(const std::string& task,
                                 std::uint64_t run) const;

  /// Logs a run that a list shows and that the session does not count as open.
  /// Returns whether the run was settled.
  bool LogListed(const std::string& endpoint, const ActiveRun& reported,
                 const List& list) const;

  /// Forgets the runs that were settled so long ago that no order of theirs can
  /// still be carried out.
  void DropExpired(base::TimePoint now);

 private:
  std::map<std::pair<std::string, std::uint64_t>, Settlement> settlements;
};

}  // namespace hawthornwheel::runs
