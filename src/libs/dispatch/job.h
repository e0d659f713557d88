#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "dispatch/key_registry.h"
#include "dispatch/submission_key.h"
#include "fleet/service_config.h"
#include "fleet/urgency.h"
#include "wire/caller.pb.h"

namespace hawthornwheel::dispatch {

/// Identifies one attempt at a task, unique in this process; 0 means none.
using AttemptNumber = std::uint64_t;

/// State of a task.
enum class TaskState { kQueued, kRunning, kCompleted };

/// Holds one task of a job, its state and its result.
struct Task {
  std::string payload;
  base::Duration declared_run_time{0};
  bool idempotent = false;
  TaskState state = TaskState::kQueued;
  AttemptNumber attempt = 0;
  base::TimePoint started_at;
  /// Attempts that endpoints refused or that were not sent.
  std::uint32_t refusals = 0;
  std::string result;
};

/// Receives a job's answer, final or pending.
using AnswerCallback = std::function<void(const wire::JobAnswer&)>;

/// Holds a call that waits for a job's answer.
struct Waiter {
  std::uint64_t id = 0;
  AnswerCallback callback;
  base::TimerId timer = 0;
};

/// Holds one admitted job. A job ends exactly once, with the results of all
/// tasks or with one failure.
struct Job {
  JobId id = 0;
  SubmissionKey key;
  bool key_assigned = false;
  std::shared_ptr<const fleet::ServiceConfig> service;
  fleet::Urgency urgency = fleet::Urgency::kNormal;
  base::TimePoint admitted_at;
  base::TimePoint deadline;
  base::TimerId deadline_timer = 0;
  std::vector<Task> tasks;
  /// Indices of the tasks to start. The last entry starts next, unless its task
  /// waits for a faster endpoint; then the first entry may start.
  std::vector<std::uint32_t> queued;
  /// Number of completed tasks.
  std::uint32_t completed = 0;
  /// Longest run time of a completed task.
  base::Duration longest_run{0};
  /// Number of attempts that may have started, that is, all but those known to
  /// have been refused or not sent.
  std::uint32_t possible_starts = 0;
  bool ended = false;
  /// Valid once the job has ended.
  wire::JobAnswer answer;
  std::vector<Waiter> waiters;
};

}  // namespace hawthornwheel::dispatch
