#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "runs/endpoint_orders.h"

namespace hawthornwheel::testing {

/// Records the orders to endpoints, so that a test can answer each order
/// through Sent::answer.
class ScriptedOrders final : public runs::EndpointOrders {
 public:
  template <typename Order, typename Reply>
  struct Sent {
    Order order;
    std::function<void(const Reply&)> answer;
  };

  struct StopOrder {
    runs::OrderTarget target;
    std::string task;
    std::uint64_t run = 0;
  };

  void Start(const runs::StartOrder& order,
             std::function<void(const runs::OrderReply&)> done) override {
    this->starts.push_back({order, std::move(done)});
  }
  void Stop(const runs::OrderTarget& target, const std::string& task,
            std::uint64_t run,
            std::function<void(const runs::OrderReply&)> done) override {
    this->stops.push_back({{target, task, run}, std::move(done)});
  }
  void Poll(const runs::PollOrder& order,
            std::function<void(const runs::PollReply&)> done) override {
    this->polls.push_back({order, std::move(done)});
  }

  std::vector<Sent<runs::StartOrder, runs::OrderReply>> starts;
  std::vector<Sent<StopOrder, runs::OrderReply>> stops;
  std::vector<Sent<runs::PollOrder, runs::PollReply>> polls;
};

}  // namespace hawthornwheel::testing
