#pragma once

#include <chrono>

#include "base/clock.h"

namespace hawthornwheel::runs {

/// Time after which a caller submits a job again whose connection has ended, or
/// that was answered as interrupted or timed out.
inline constexpr base::Duration kResendTime = std::chrono::milliseconds(1'300);

/// Time after the end of a job by which its runs have ended, whether or not
/// their stop orders arrive. The rest of kResendTime covers messages and timers
/// that are late.
inline constexpr base::Duration kRunEndLimit =
    kResendTime - std::chrono::milliseconds(100);

}  // namespace hawthornwheel::runs
