#include "rig/run_log.h"

#include <algorithm>

namespace review {

std::size_t RunLog::Begin(const std::string& task, std::uint64_t run,
                          const std::string& worker) {
  const std::lock_guard lock(this->mutex);
  this->runs.push_back({task, run, worker, this->record.NowMs(), -1});
  this->runs_of_task.emplace(task, this->runs.size() - 1);
  this->record.Write("run begins task=" + task + " run=" + std::to_string(run) +
                     " worker=" + worker);
  return this->runs.size() - 1;
}

void RunLog::End(std::size_t number, const std::string& how) {
  const std::lock_guard lock(this->mutex);
  Run& run = this->runs[number];
  run.end_ms = this->record.NowMs();
  this->record.Write("run ends task=" + run.task +
                     " run=" + std::to_string(run.run) +
                     " worker=" + run.worker + " how=" + how);
  this->CheckOverlap(run);
}

// Compares a run that has ended with the other runs of its task. Each pair is
// counted once: when the first of the two ends, or when both have ended.
void RunLog::CheckOverlap(const Run& ended) {
  const auto [first, last] = this->runs_of_task.equal_range(ended.task);
  for (auto item = first; item != last; ++item) {
    const Run& other = this->runs[item->second];
    if (&other == &ended || other.end_ms >= 0) continue;
    const std::int64_t overlap =
        ended.end_ms - std::max(ended.begin_ms, other.begin_ms);
    if (overlap < kMinOverlapMs) continue;
    ++this->breaches["TWICE"];
    this->record.Write("breach TWICE task=" + ended.task +
                       " run=" + std::to_string(ended.run) + " at " +
                       ended.worker + " and run=" + std::to_string(other.run) +
                       " at " + other.worker +
                       " together_ms=" + std::to_string(overlap));
  }
}

void RunLog::AddBreach(const std::string& rule, const std::string& text) {
  const std::lock_guard lock(this->mutex);
  ++this->breaches[rule];
  this->record.Write("breach " + rule + " " + text);
}

std::size_t RunLog::CountBreaches(const std::string& rule) {
  const std::lock_guard lock(this->mutex);
  return this->breaches[rule];
}

std::size_t RunLog::CountRunningAfter(const std::string& job,
                                      std::int64_t until_ms) {
  const std::lock_guard lock(this->mutex);
  const std::int64_t now = this->record.NowMs();
  return static_cast<std::size_t>(
      std::count_if(this->runs.begin(), this->runs.end(), [&](const Run& run) {
        const std::int64_t end = run.end_ms < 0 ? now : run.end_ms;
        return run.task.starts_with(job + ".") && end > until_ms;
      }));
}

std::size_t RunLog::CountRuns(const std::string& job) {
  const std::lock_guard lock(this->mutex);
  return static_cast<std::size_t>(std::count_if(
      this->runs.begin(), this->runs.end(),
      [&](const Run& run) { return run.task.starts_with(job + "."); }));
}

}  // namespace review
