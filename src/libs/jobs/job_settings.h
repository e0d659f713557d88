#pragma once

namespace hawthornwheel::base {
class SettingsReader;
}

namespace hawthornwheel::jobs {

/// Holds the settings of the group `[jobs]`.
struct JobSettings {
  /// Reads and checks the group.
  static JobSettings Read(base::SettingsReader& reader);

  /// Factor by which a task takes longer away from its data; a bound that the
  /// platform gives.
  double far_factor = 1;
};

}  // namespace hawthornwheel::jobs
