#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hawthornwheel::dispatch {

/// Holds the request that starts one attempt of a task at an endpoint.
struct TaskCall {
  /// Address and port of the endpoint.
  std::string endpoint;
  std::string attempt_id;
  std::string task_id;
  std::string service;
  /// Time for which the attempt may run without a renewal.
  base::Duration lease{0};
  /// Time left until the caller's deadline.
  base::Duration time_left{0};
  bool idempotent = false;
  std::string payload;
};

/// Describes how an attempt ended, as far as the dispatcher knows.
enum class AttemptOutcome {
  /// The endpoint ran the task and returned its result.
  kCompleted,
  /// The endpoint ran the task and reported that it failed.
  kFailed,
  /// The endpoint reported that it did not start the task.
  kRefused,
  /// Like kRefused, and the endpoint accepts no new work from now on.
  kRefusedLeaving,
  /// The request did not leave this process.
  kNotSent,
  /// The task may have started; nothing else is known.
  kUnknown,
};

/// Returns the name of an outcome in logs and metrics.
std::string_view AttemptOutcomeName(AttemptOutcome outcome);

/// Holds the outcome of an attempt. `content` is the result of a completed
/// task, or otherwise the reason as text.
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  std::string content;
};

/// Sends attempts, stops and lease renewals to endpoints. Callbacks run on the
/// thread of the event loop, and only after the call that registered them has
/// returned.
class EndpointClient {
 public:
  virtual ~EndpointClient() = default;

  /// Sends one attempt, at most once on the wire. `done` is called once, unless
  /// the attempt is stopped first.
  virtual void Start(const TaskCall& call,
                     std::function<void(AttemptResult)> done) = 0;

  /// Stops an attempt. `done` receives true when the endpoint has confirmed
  /// that it no longer runs the attempt.
  virtual void Stop(const std::string& endpoint, const std::string& attempt_id,
                    std::function<void(bool)> done) = 0;

  /// Renews the leases of attempts at one endpoint. `done` receives true when
  /// the endpoint has accepted the renewal.
  virtual void Renew(const std::string& endpoint,
                     const std::vector<std::string>& attempt_ids,
                     base::Duration lease, std::function<void(bool)> done) = 0;
};

}  // namespace hawthornwheel::dispatch
