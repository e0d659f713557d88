#pragma once

#include <functional>

namespace hawthornwheel::testing {

/// Runs the default main loop until `condition` holds. Returns false when it
/// does not within a limit that only a hanging test meets.
bool RunLoopUntil(const std::function<bool()>& condition);

/// Runs the default main loop for a while.
void RunLoopFor(int milliseconds);

}  // namespace hawthornwheel::testing
