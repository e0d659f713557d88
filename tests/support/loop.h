#pragma once

#include <functional>

namespace hawthornwheel::testing {

/// Runs the default main loop until `condition` holds. Returns false when it
/// does not hold within 30 s, a timeout that only a hanging test reaches.
bool RunLoopUntil(const std::function<bool()>& condition);

/// Runs the default main loop for `milliseconds`.
void RunLoopFor(int milliseconds);

}  // namespace hawthornwheel::testing
