#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hawthornwheel::runs {

enum class RunOutcome;

/// Result of an order to an endpoint.
enum class OrderOutcome {
  kAccepted,
  /// The fencing token of the order is lower than one that the endpoint has
  /// already seen.
  kFenced,
  /// A run of the task with this or a higher number has ended or was stopped.
  kStaleRun,
  /// The order arrived after its lease had expired.
  kExpired,
  /// The endpoint has too few free resources.
  kNoCapacity,
  /// The endpoint cannot parse the order; a retry does not help.
  kInvalid,
  /// The endpoint that answers at this address has another id than expected.
  kWrongInstance,
  /// The endpoint sheds load and has not carried out the order.
  kOverloaded,
  /// The order could not be sent, so the endpoint has not received it.
  kNotSent,
  /// No answer arrived. The order may have been carried out or may still be.
  kUnanswered,
};

/// Returns the name for logs.
const char* NameOf(OrderOutcome outcome);

/// Returns whether an order is known not to be carried out: the endpoint has
/// refused it, or it was not sent.
bool IsNotCarriedOut(OrderOutcome outcome);

/// Returns the outcome of a run whose start was refused in this way.
RunOutcome OutcomeOfRefusal(OrderOutcome outcome);

/// Returns whether the endpoint has not answered an order.
bool IsUnanswered(OrderOutcome outcome);

/// Holds the destination of an order, the fencing token of its sender and the
/// time limit for the answer.
struct OrderTarget {
  /// `IP:port`.
  std::string address;
  /// Id of the endpoint that is expected at `address`.
  std::string endpoint_id;
  /// Fencing token of the sender; 0 in a probe, which claims nothing.
  std::uint64_t fence = 0;
  /// Time limit for the answer.
  base::Duration timeout{0};
};

/// Orders an endpoint to start a run of a task.
struct StartOrder {
  OrderTarget target;
  std::string task;
  std::uint64_t run = 0;
  std::string payload;
  /// Expiry of the lease in milliseconds on the endpoint's clock.
  std::int64_t lease_until_ms = 0;
};

/// Holds the answer to a start or a stop order.
struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kUnanswered;
  /// Endpoint's clock in milliseconds; 0 when the answer carries none.
  std::int64_t clock_ms = 0;
  /// Start of the endpoint's incarnation in Unix milliseconds; 0 when the
  /// answer carries none.
  std::int64_t incarnation_start_ms = 0;
  /// Reason for logs, when the order was not accepted.
  std::string cause;
};

/// Renews the lease of all runs at an endpoint and requests their state.
struct PollOrder {
  OrderTarget target;
  /// New expiry of the lease in milliseconds on the endpoint's clock; 0 leaves
  /// the lease as it is.
  std::int64_t lease_until_ms = 0;
  /// Acknowledges the ends up to this sequence number; the endpoint may discard
  /// them.
  std::uint64_t acked_end_seq = 0;
  /// Maximum time for which the endpoint waits for a run to end before it
  /// answers.
  base::Duration wait{0};
};

/// Kind of a run's end, as its endpoint reports it.
enum class RunEndKind {
  kDone,
  kFailed,
  /// A stop order ended the run.
  kStopped,
  kLeaseExpired,
  /// Another member of the run's gang, a group of tasks that must run together,
  /// has ended. The run counts as lost. Also the default for an end of a kind
  /// that is unknown here.
  kGangMemberEnded,
  /// The gang did not assemble in time. The run counts as lost.
  kGangNotAssembled
};

/// Returns the outcome of a run that has ended in this way.
RunOutcome OutcomeOf(RunEndKind kind);

/// Describes a run that is in progress at an endpoint.
struct ActiveRun {
  std::string task;
  std::uint64_t run = 0;
  /// Progress in percent.
  int percent = 0;
};

/// Describes a run that has ended at an endpoint.
struct EndedRun {
  /// Sequence number of the end, counted by the endpoint.
  std::uint64_t sequence_number = 0;
  std::string task;
  std::uint64_t run = 0;
  RunEndKind kind = RunEndKind::kGangMemberEnded;
};

/// Holds the answer to a poll. The lists are valid only with kAccepted.
struct PollReply {
  OrderReply order;
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;
};

/// Sends orders to endpoints and passes each answer to `done`. Answers may
/// arrive in a different sequence than the orders were sent.
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
