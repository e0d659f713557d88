#pragma once

#include <set>
#include <string>

#include "dispatch/endpoint_client.h"
#include "support/fake_endpoints.h"

namespace hawthornwheel::testing {

/// Client of one process to the endpoints of the test.
class FakeEndpointClient final : public dispatch::EndpointClient {
 public:
  /// References must outlive the client. One way takes `latency`.
  FakeEndpointClient(FakeEndpoints& endpoints, base::Clock& shared_clock,
                     ProcessClock& process_clock, base::Duration latency);

  void Start(const dispatch::TaskCall& call,
             std::function<void(dispatch::AttemptResult)> done) override;
  void Stop(const std::string& endpoint, const std::string& attempt_id,
            std::function<void(bool)> done) override;
  void Renew(const std::string& endpoint,
             const std::vector<std::string>& attempt_ids, base::Duration lease,
             std::function<void(bool)> done) override;

 private:
  void Control(const std::string& endpoint, std::function<void()> effect,
               std::function<void(bool)> done);

  FakeEndpoints& endpoints;
  base::Clock& shared_clock;
  ProcessClock& process_clock;
  base::Duration latency;
};

}  // namespace hawthornwheel::testing
