#include "runs/run_settings.h"

#include "base/settings_reader.h"

namespace hawthornwheel::runs {

RunSettings RunSettings::Read(base::SettingsReader& reader) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  RunSettings settings;
  settings.lease = reader.Time("runs", "lease", settings.lease,
                               milliseconds(100), seconds(60));
  settings.stop_time = reader.Time("runs", "stop_time", settings.stop_time,
                                   milliseconds(0), seconds(10));
  settings.poll_wait = reader.Time("runs", "poll_wait", settings.poll_wait,
                                   milliseconds(10), seconds(2));
  settings.answer_time =
      reader.Time("runs", "answer_time", settings.answer_time, milliseconds(10),
                  seconds(5));
  settings.recheck_after =
      reader.Time("runs", "doubt_after", settings.recheck_after,
                  milliseconds(5), seconds(5));
  if (settings.poll_wait + settings.answer_time >= settings.lease) {
    reader.AddFault("runs", "poll_wait",
                    "plus answer_time must be shorter than lease");
  }
  return settings;
}

}  // namespace hawthornwheel::runs
