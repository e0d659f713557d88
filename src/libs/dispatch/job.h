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

/// Number of one attempt at a task, unique in this process; 0 names none.
using AttemptNumber = std::uint64_t;

/// Where a task stands.
enum class TaskState { kQueued, kRunning, kCompleted };

/// One task of a job.
struct Task {
  std::string payload;
  base::Duration declared_run_time{0};
  bool idempotent = false;
  TaskState state = TaskState::kQueued;
  AttemptNumber attempt = 0;
  base::TimePoint started_at;
  std::uint32_t refusals = 0;
  std::string result;
};

/// Takes a job's answer, final or pending.
using AnswerCallback = std::function<void(const wire::JobAnswer&)>;

/// Someone who waits for a job's answer.
struct Waiter {
  std::uint64_t id = 0;
  AnswerCallback callback;
  base::TimerId timer = 0;
};

/// One admitted job. It ends once, with every result or with one failure.
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
  /// Indices of tasks to start, the next one last.
  std::vector<std::uint32_t> queued;
  std::uint32_t completed = 0;
  /// Longest time that one of its tasks took at its endpoint.
  base::Duration longest_run{0};
  /// Attempts sent that are not known to have been refused before the start.
  std::uint32_t possible_starts = 0;
  bool ended = false;
  /// Set when the job has ended.
  wire::JobAnswer answer;
  std::vector<Waiter> waiters;
};

}  // namespace hawthornwheel::dispatch
