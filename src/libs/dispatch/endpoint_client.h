#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hawthornwheel::dispatch {

/// One attempt at a task, as an endpoint gets it.
struct TaskCall {
  std::string endpoint;
  std::string attempt_id;
  std::string task_id;
  std::string service;
  base::Duration lease{0};
  /// Time left until the caller's deadline.
  base::Duration time_left{0};
  bool idempotent = false;
  std::string payload;
};

/// How an attempt ended, as far as the dispatcher can know.
enum class AttemptOutcome {
  /// The endpoint ran the task and answered with its result.
  kCompleted,
  /// The endpoint ran the task and says that it failed.
  kFailed,
  /// The endpoint says that it did not start the task.
  kRefused,
  /// The same, and the endpoint takes no new work from now on.
  kRefusedLeaving,
  /// The request did not leave this process.
  kNotSent,
  /// The task may have started; nothing more is known.
  kUnknown,
};

/// Name of an outcome in logs and metrics.
std::string_view AttemptOutcomeName(AttemptOutcome outcome);

/// Outcome with the result, or the reason in words.
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  std::string content;
};

/// Client of the endpoints. Callbacks run on the loop's thread, never from
/// within the call that takes them.
class EndpointClient {
 public:
  virtual ~EndpointClient() = default;

  /// Sends one attempt, at most once on the wire. `done` runs once, unless the
  /// attempt is stopped first.
  virtual void Start(const TaskCall& call,
                     std::function<void(AttemptResult)> done) = 0;

  /// Stops an attempt. `done` tells whether the endpoint confirmed that it does
  /// not run the attempt any more.
  virtual void Stop(const std::string& endpoint, const std::string& attempt_id,
                    std::function<void(bool)> done) = 0;

  /// Renews the leases of attempts at one endpoint. `done` tells whether the
  /// endpoint took them.
  virtual void Renew(const std::string& endpoint,
                     const std::vector<std::string>& attempt_ids,
                     base::Duration lease, std::function<void(bool)> done) = 0;
};

}  // namespace hawthornwheel::dispatch
