#include "jobs/job_answer.h"

#include <array>

namespace hawthornwheel::jobs {

const char* NameOf(JobEnd end) {
  constexpr std::array kNames = {"complete",  "failed",   "rejected",
                                 "not_ready", "no_route", "interrupted",
                                 "timed_out", "cancelled"};
  return kNames[static_cast<std::size_t>(end)];
}

}  // namespace hawthornwheel::jobs
