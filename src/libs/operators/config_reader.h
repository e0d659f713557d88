#pragma once

#include "base/result.h"
#include "control_log/log_client.h"
#include "fleet/config_fold.h"
#include "fleet/log_follower.h"
#include "operators/loop_runner.h"

namespace hawthornwheel::operators {

/// Reads the whole log and folds its records into the configuration in force,
/// in the same way as the dispatchers.
class ConfigReader {
 public:
  /// All references must outlive the reader.
  ConfigReader(control_log::LogClient& log, LoopRunner& runner);

  /// Reads to the end of the log. Returns true, kLogUnavailable when the log
  /// cannot be read, or kLogRecordsLost when it no longer contains enough
  /// records to determine the configuration.
  base::Result<bool> CatchUp();

  const fleet::ConfigFold& Fold() const { return this->fold; }

 private:
  base::Result<control_log::LogBatch> ReadBatch();

  control_log::LogClient& log;
  LoopRunner& runner;
  fleet::ConfigFold fold;
  fleet::LogFollower follower;
};

}  // namespace hawthornwheel::operators
