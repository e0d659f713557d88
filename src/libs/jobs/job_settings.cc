#include "jobs/job_settings.h"

#include "base/settings_reader.h"

namespace hawthornwheel::jobs {
namespace {

constexpr double kMaxFarFactor = 1'000;

}  // namespace

JobSettings JobSettings::Read(base::SettingsReader& reader) {
  JobSettings settings;
  settings.far_factor = reader.Number("jobs", "far_factor", settings.far_factor,
                                      1, kMaxFarFactor);
  return settings;
}

}  // namespace hawthornwheel::jobs
