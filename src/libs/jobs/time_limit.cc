#include "jobs/time_limit.h"

#include "catalog/route.h"
#include "jobs/job_request.h"

namespace hawthornwheel::jobs {

base::Duration TimeLimitOf(const JobRequest& request,
                           const catalog::Route& route) {
  return request.caller_timeout > base::Duration{0} ? request.caller_timeout
                                                    : route.timeout;
}

}  // namespace hawthornwheel::jobs
