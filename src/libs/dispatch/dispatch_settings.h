#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::base {
class SettingsReader;
}

namespace hawthornwheel::dispatch {

/// Settings of jobs, submission keys, routing and endpoint health. Durations
/// are in microseconds.
struct DispatchSettings {
  /// Reads and checks the group `[dispatch]`. Faults are reported to `reader`.
  static DispatchSettings Read(base::SettingsReader& reader);

  /// Name of the endpoint selector.
  std::string routing = "earliest";
  /// Whether processes lend free slots to each other.
  bool lend_slots = true;
  /// Length of one epoch of submission keys.
  base::Duration epoch_length{30'000'000};
  /// Number of full epochs for which keys are remembered, in addition to the
  /// current one.
  std::uint64_t remembered_epochs = 10;
  /// Time for which the answer of an ended job is kept and can be queried.
  base::Duration answer_retention{60'000'000};
  base::Duration max_job_timeout{600'000'000};
  /// Maximum number of queued tasks in this process, over all services.
  std::uint64_t max_queued_tasks = 200'000;
  /// Maximum number of jobs kept, including ended jobs whose answers are kept.
  std::uint64_t max_jobs = 200'000;
  /// Number of remembered submission keys, including refused ones, at which the
  /// oldest epochs are forgotten early.
  std::uint64_t max_keys = 2'000'000;
  /// Length of the first quarantine of an endpoint. It doubles with each
  /// further quarantine, up to a limit.
  base::Duration quarantine{2'000'000};
  /// Time after which a drain cancels the jobs that are still open.
  base::Duration drain_timeout{60'000'000};
  /// Time added to the wait of a forwarded call before the call fails.
  base::Duration forward_grace{2'000'000};
};

}  // namespace hawthornwheel::dispatch
