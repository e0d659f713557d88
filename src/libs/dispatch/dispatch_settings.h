#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::base {
class SettingsReader;
}

namespace hawthornwheel::dispatch {

/// Settings of jobs, keys and the care of endpoints.
struct DispatchSettings {
  /// Reads and checks the group `[dispatch]`.
  static DispatchSettings Read(base::SettingsReader& reader);

  /// Name of the endpoint selector.
  std::string routing = "earliest";
  /// Whether processes lend each other slots that are free.
  bool lend_slots = true;
  base::Duration epoch_length{30'000'000};
  /// Whole epochs for which keys are remembered beside the current one.
  std::uint64_t remembered_epochs = 10;
  /// Time for which the answer of an ended job can be asked for.
  base::Duration answer_retention{60'000'000};
  base::Duration max_job_timeout{600'000'000};
  /// Most tasks that wait in this process, over all services.
  std::uint64_t max_queued_tasks = 200'000;
  /// Most jobs kept, ended ones that are retained included.
  std::uint64_t max_jobs = 200'000;
  /// Most submission keys remembered, refused ones included.
  std::uint64_t max_keys = 2'000'000;
  base::Duration quarantine{2'000'000};
  base::Duration drain_timeout{60'000'000};
  /// Time beyond the wait after which a forwarded call is given up.
  base::Duration forward_grace{2'000'000};
};

}  // namespace hawthornwheel::dispatch
