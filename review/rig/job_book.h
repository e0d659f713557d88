#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace review {

/// Describes the tasks of a job that a client sends.
struct JobPlan {
  std::string id;
  std::string job_spec;
  int count = 1;
  std::int64_t cpu = 0;
  std::int64_t run_ms = 0;
  /// Label that the worker must have; empty for none.
  std::string required_label;
};

/// Holds the jobs that the clients of a case have sent, by id. Safe for use by
/// several threads.
class JobBook {
 public:
  void Add(const JobPlan& plan);

  /// Returns the plan of the job that a task belongs to. The id is empty when
  /// no client has sent the job.
  JobPlan PlanOf(const std::string& task);

 private:
  std::mutex mutex;
  std::map<std::string, JobPlan> plans;
};

}  // namespace review
