#include "operators/config_reader.h"

#include <memory>
#include <optional>

namespace hawthornwheel::operators {

using base::Error;
using base::ErrorKind;

ConfigReader::ConfigReader(control_log::LogClient& log, LoopRunner& runner)
    : log(log), runner(runner), follower(this->fold) {}

base::Result<bool> ConfigReader::CatchUp() {
  while (true) {
    const auto batch = this->ReadBatch();
    if (!batch) return batch.GetError();
    switch (this->follower.OnBatch(*batch)) {
      case fleet::LogFollower::Progress::kReadMore:
        break;
      case fleet::LogFollower::Progress::kCaughtUp:
        return true;
      case fleet::LogFollower::Progress::kNoCheckpoint:
        return Error(ErrorKind::kLogRecordsLost,
                     "the log contains no complete checkpoint");
    }
  }
}

base::Result<control_log::LogBatch> ConfigReader::ReadBatch() {
  struct State {
    bool done = false;
    std::optional<base::Result<control_log::LogBatch>> batch;
  };
  const auto state = std::make_shared<State>();
  this->log.Read(this->follower.ReadOffset(),
                 [state](base::Result<control_log::LogBatch> batch) {
                   state->batch = std::move(batch);
                   state->done = true;
                 });
  this->runner.RunUntil(&state->done);
  return *state->batch;
}

}  // namespace hawthornwheel::operators
