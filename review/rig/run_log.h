#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "rig/record.h"

namespace review {

/// Collects what the workers of a case have run and checks it against the
/// rules. Safe for use by several threads.
class RunLog {
 public:
  /// `record` must outlive the log.
  explicit RunLog(Record& record) : record(record) {}

  /// Notes that a run has begun and returns its number here.
  std::size_t Begin(const std::string& task, std::uint64_t run,
                    const std::string& worker);

  /// Notes that a run has ended.
  void End(std::size_t number, const std::string& how);

  /// Notes a breach that a worker has seen itself.
  void AddBreach(const std::string& rule, const std::string& text);

  /// Returns the number of breaches of a rule. Two runs of one task that
  /// overlap by more than `kMinOverlapMs` are a breach of TWICE.
  std::size_t CountBreaches(const std::string& rule);

  /// Returns the runs that lasted longer than the time `until_ms` of the
  /// record, among those of the job.
  std::size_t CountRunningAfter(const std::string& job, std::int64_t until_ms);

  /// Returns the number of runs of a job.
  std::size_t CountRuns(const std::string& job);

 private:
  struct Run {
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    std::int64_t begin_ms = 0;
    /// -1 while it runs.
    std::int64_t end_ms = -1;
  };

  static constexpr std::int64_t kMinOverlapMs = 5;

  void CheckOverlap(const Run& ended);

  Record& record;
  std::mutex mutex;
  std::vector<Run> runs;
  std::multimap<std::string, std::size_t> runs_of_task;
  std::map<std::string, std::size_t> breaches;
};

}  // namespace review
