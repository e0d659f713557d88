#pragma once

#include <string>
#include <utility>

#include "runs/endpoint_orders.h"
#include "support/leased_endpoints.h"

namespace hawthornwheel::testing {

/// Sends the orders of one process to the leased endpoints of a test.
class LeasedOrders final : public runs::EndpointOrders {
 public:
  LeasedOrders(LeasedEndpoints& endpoints, std::string domain,
               ProcessClock& clock)
      : endpoints(endpoints), domain(std::move(domain)), clock(clock) {}

  void Start(const runs::StartOrder& order,
             std::function<void(const runs::OrderReply&)> done) override {
    this->endpoints.Start(this->domain, order, this->clock, std::move(done));
  }
  void Stop(const runs::OrderTarget& target, const std::string& task,
            std::uint64_t run,
            std::function<void(const runs::OrderReply&)> done) override {
    this->endpoints.Stop(this->domain, target, task, run, this->clock,
                         std::move(done));
  }
  void Poll(const runs::PollOrder& order,
            std::function<void(const runs::PollReply&)> done) override {
    this->endpoints.Poll(this->domain, order, this->clock, std::move(done));
  }

 private:
  LeasedEndpoints& endpoints;
  std::string domain;
  ProcessClock& clock;
};

}  // namespace hawthornwheel::testing
