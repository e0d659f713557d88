#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace hawthornwheel::cluster {

/// Highest run number of the runs in progress, by job id.
using JobRuns = std::map<std::string, std::uint64_t>;

/// Adds a run to the runs of its job.
inline void AddRun(JobRuns& jobs, const std::string& job, std::uint64_t run) {
  std::uint64_t& last_run = jobs[job];
  if (last_run < run) last_run = run;
}

}  // namespace hawthornwheel::cluster
