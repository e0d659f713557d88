#pragma once

#include <functional>
#include <string>

#include "runs/endpoint_orders.h"
#include "support/choices.h"
#include "support/manual_clock.h"
#include "support/model_endpoint.h"
#include "support/process_clock.h"

namespace hawthornwheel::testing {

/// Carries the orders of one process to a model endpoint. What happens to each
/// order is chosen: answered, carried out or not with the connection ending,
/// lost silently, carried out late, or answered late.
class ModelOrders final : public runs::EndpointOrders {
 public:
  /// References must outlive the orders. `trace` receives a line per event.
  ModelOrders(ManualClock& clock, ProcessClock& process_clock,
              ModelEndpoint& endpoint, Choices& choices,
              std::function<void(const std::string&)> trace)
      : clock(clock),
        process_clock(process_clock),
        endpoint(endpoint),
        choices(choices),
        trace(std::move(trace)) {}

  void Start(const runs::StartOrder& order,
             std::function<void(const runs::OrderReply&)> done) override;
  void Stop(const runs::OrderTarget& target, const std::string& task,
            std::uint64_t run,
            std::function<void(const runs::OrderReply&)> done) override;
  void Poll(const runs::PollOrder& order,
            std::function<void(const runs::PollReply&)> done) override;

  /// Loses the orders and answers that would arrive within `span`, without the
  /// connections ending. Orders that are already late still arrive.
  void Cut(base::Duration span) { this->cut_end = this->clock.Now() + span; }

  /// Whether the order that is being carried out was sent to an earlier
  /// incarnation.
  bool CarriesEarlierOrder() const { return this->carries_earlier_order; }

  std::uint64_t Polls() const { return this->polls; }

 private:
  bool IsCut() const { return this->clock.Now() < this->cut_end; }
  template <typename Reply>
  void Send(const std::string& what, base::Duration timeout,
            std::function<void(const Reply&)> done,
            std::function<void(const ModelEndpoint::Answer<Reply>&)> execute);

  ManualClock& clock;
  ProcessClock& process_clock;
  ModelEndpoint& endpoint;
  Choices& choices;
  std::function<void(const std::string&)> trace;
  base::TimePoint cut_end;
  bool carries_earlier_order = false;
  std::uint64_t polls = 0;
};

}  // namespace hawthornwheel::testing
