#pragma once

#include <string>

#include "record.h"

namespace rig {

/// Plays a scenario. Returns 0 when the rule held, 1 when it was broken and 2
/// when the scenario could not run.
int Play(const std::string& scenario, bool with_trouble,
         const std::string& folder, Record& record);

}  // namespace rig
