#include "dispatch/dispatch_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <vector>

#include "base/settings_reader.h"
#include "dispatch/selector_factory.h"

namespace hawthornwheel::dispatch {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kMaxEpochs = 1000;
// Upper limit of `max_queued_tasks`, `max_jobs` and `max_keys`.
constexpr std::int64_t kMaxEntries = 10'000'000;

DispatchSettings DispatchSettings::Read(base::SettingsReader& reader) {
  DispatchSettings settings;
  settings.routing = reader.Text("dispatch", "routing",
                                 base::Presence::kOptional, settings.routing);
  const std::vector<std::string> names = SelectorNames();
  if (std::find(names.begin(), names.end(), settings.routing) == names.end()) {
    reader.AddFault("dispatch", "routing",
                    fmt::format("must be one of {}", fmt::join(names, ", ")));
  }
  settings.lend_slots =
      reader.Flag("dispatch", "lend_slots", settings.lend_slots);
  settings.epoch_length =
      reader.Time("dispatch", "epoch_length", settings.epoch_length, seconds(1),
                  minutes(60));
  settings.remembered_epochs = static_cast<std::uint64_t>(reader.Integer(
      "dispatch", "remembered_epochs",
      static_cast<std::int64_t>(settings.remembered_epochs), 1, kMaxEpochs));
  settings.answer_retention =
      reader.Time("dispatch", "answer_retention", settings.answer_retention,
                  seconds(1), minutes(60));
  settings.max_job_timeout =
      reader.Time("dispatch", "max_job_timeout", settings.max_job_timeout,
                  seconds(1), minutes(60));
  settings.max_queued_tasks = static_cast<std::uint64_t>(reader.Integer(
      "dispatch", "max_queued_tasks",
      static_cast<std::int64_t>(settings.max_queued_tasks), 1, kMaxEntries));
  settings.max_jobs = static_cast<std::uint64_t>(reader.Integer(
      "dispatch", "max_jobs", static_cast<std::int64_t>(settings.max_jobs), 1,
      kMaxEntries));
  settings.max_keys = static_cast<std::uint64_t>(reader.Integer(
      "dispatch", "max_keys", static_cast<std::int64_t>(settings.max_keys),
      1000, kMaxEntries));
  settings.quarantine =
      reader.Time("dispatch", "quarantine", settings.quarantine,
                  milliseconds(100), minutes(5));
  settings.drain_timeout =
      reader.Time("dispatch", "drain_timeout", settings.drain_timeout,
                  milliseconds(100), minutes(60));
  settings.forward_grace =
      reader.Time("dispatch", "forward_grace", settings.forward_grace,
                  milliseconds(100), seconds(30));
  return settings;
}

}  // namespace hawthornwheel::dispatch
