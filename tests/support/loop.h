#pragma once

#include <functional>

namespace hawthornwheel::testing {

/// Runs the default main loop until `condition` holds. Returns false after a
/// timeout of 30 s, which only a test that hangs reaches.
bool RunLoopUntil(const std::function<bool()>& condition);

/// Runs the default main loop for `milliseconds`.
void RunLoopFor(int milliseconds);

}  // namespace hawthornwheel::testing
