#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hawthornwheel::runs {

/// How an endpoint took an order.
enum class OrderOutcome {
  kAccepted,
  /// The order's fencing token is lower than one that the endpoint has seen.
  kFenced,
  /// A run with this number or a higher one has ended or was stopped.
  kStaleRun,
  /// The order came after the end of its lease.
  kExpired,
  kNoCapacity,
  /// The endpoint cannot read the order; sending it again does not help.
  kInvalid,
  /// Another incarnation has the address.
  kWrongInstance,
  /// The endpoint sheds load; it has done nothing.
  kOverloaded,
  /// No answer; the order may have been carried out, or may be later.
  kUnanswered,
};

/// Name for logs.
const char* NameOf(OrderOutcome outcome);

/// Where an order goes and who gives it.
struct OrderTarget {
  /// `IP:port`.
  std::string address;
  /// Incarnation that is meant.
  std::string instance;
  /// Fencing token.
  std::uint64_t fence = 0;
  base::Duration timeout{0};
};

/// Tells an endpoint to start a task.
struct StartOrder {
  OrderTarget target;
  std::string task;
  std::uint64_t run = 0;
  std::string payload;
  /// End of the lease on the endpoint's clock.
  std::int64_t lease_until_ms = 0;
};

/// Answer to a start or a stop.
struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kUnanswered;
  /// Endpoint's clock; 0 when the answer carries none.
  std::int64_t clock_ms = 0;
  /// Start of the endpoint's incarnation; 0 when it is not told.
  std::int64_t incarnation_start_ms = 0;
  /// For logs, when nothing was answered.
  std::string cause;
};

/// Renews the lease of all runs at an endpoint and asks for their state.
struct PollOrder {
  OrderTarget target;
  /// 0 renews nothing.
  std::int64_t lease_until_ms = 0;
  /// Ends up to this number are known here and may be forgotten there.
  std::uint64_t acked_end = 0;
  /// How long the endpoint waits for an end before it answers.
  base::Duration wait{0};
};

/// How a run ended, as its endpoint tells.
enum class RunEndKind {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kAborted,
  kIsolated
};

/// A run that is at work.
struct ActiveRun {
  std::string task;
  std::uint64_t run = 0;
  /// Work done, in percent.
  int percent = 0;
};

/// A run that has ended.
struct EndedRun {
  std::uint64_t number = 0;
  std::string task;
  std::uint64_t run = 0;
  RunEndKind kind = RunEndKind::kAborted;
};

/// Answer to a poll. The lists hold only with kAccepted.
struct PollReply {
  OrderReply order;
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;
};

/// Sends orders to endpoints. Answers may overtake each other.
class EndpointOrders {
 public:
  virtual ~EndpointOrders() = default;

  virtual void Start(const StartOrder& order,
                     std::function<void(const OrderReply&)> done) = 0;
  virtual void Stop(const OrderTarget& target, const std::string& task,
                    std::uint64_t run,
                    std::function<void(const OrderReply&)> done) = 0;
  virtual void Poll(const PollOrder& order,
                    std::function<void(const PollReply&)> done) = 0;
};

}  // namespace hawthornwheel::runs
