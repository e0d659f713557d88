#pragma once

#include "base/clock.h"

namespace hawthornwheel::catalog {
struct Route;
}

namespace hawthornwheel::jobs {

struct JobRequest;

/// Returns the time after the arrival of a job at which it is ended: the time
/// for which its caller waits, or the timeout of its route when the caller
/// states none.
base::Duration TimeLimitOf(const JobRequest& request,
                           const catalog::Route& route);

}  // namespace hawthornwheel::jobs
