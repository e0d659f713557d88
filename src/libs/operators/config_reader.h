#pragma once

#include "base/result.h"
#include "fleet/config_fold.h"
#include "fleet/log_follower.h"
#include "operators/loop_runner.h"
#include "platform/log_client.h"

namespace hawthornwheel::operators {

/// Reads the whole log into a fold, as the dispatchers do.
class ConfigReader {
 public:
  /// All references must outlive the reader.
  ConfigReader(platform::LogClient& log, LoopRunner& runner);

  /// Reads on to the end of the log. Fails when the log cannot be read or does
  /// not hold enough to tell the configuration.
  base::Result<bool> CatchUp();

  const fleet::ConfigFold& Fold() const { return this->fold; }

 private:
  base::Result<platform::LogBatch> ReadBatch();

  platform::LogClient& log;
  LoopRunner& runner;
  fleet::ConfigFold fold;
  fleet::LogFollower follower;
};

}  // namespace hawthornwheel::operators
