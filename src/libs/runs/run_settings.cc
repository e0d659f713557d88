#include "runs/run_settings.h"

#include <algorithm>
#include <chrono>

#include "base/settings_reader.h"

namespace hawthornwheel::runs {

namespace {

// Longest lease in use, whatever the platform grants. RemoteRuns counts the
// runs of a dead process as ended 1.2 s after its loss, and a caller submits
// its job again 1.3 s after.
constexpr base::Duration kMaxLease = std::chrono::milliseconds(1'000);

}  // namespace

RunSettings RunSettings::Read(base::SettingsReader& reader) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  RunSettings settings;
  settings.lease =
      std::min(kMaxLease, reader.Time("runs", "lease", settings.lease,
                                      milliseconds(100), hours(1)));
  settings.stop_time = reader.Time("runs", "stop_time", settings.stop_time,
                                   milliseconds(0), seconds(10));
  // With a shorter lease, polls renew it as many times as with the default.
  const RunSettings defaults;
  const auto scaled = [&settings, &defaults](base::Duration time) {
    return time * settings.lease.count() / defaults.lease.count();
  };
  settings.poll_wait =
      reader.Time("runs", "poll_wait", scaled(defaults.poll_wait),
                  milliseconds(10), seconds(2));
  settings.answer_time =
      reader.Time("runs", "answer_time", scaled(defaults.answer_time),
                  milliseconds(10), seconds(5));
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
