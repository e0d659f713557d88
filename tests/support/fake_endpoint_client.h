#pragma once

#include <set>
#include <string>

#include "dispatch/endpoint_client.h"
#include "support/fake_endpoints.h"

namespace hawthornwheel::testing {

/// Connects one process of a test to the fake endpoints.
class FakeEndpointClient final : public dispatch::EndpointClient {
 public:
  /// References must outlive the client. `latency` is the delay in each
  /// direction.
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
  /// Sends a stop or a renewal. `effect` runs only when the endpoint is up;
  /// `done` gets whether it is up.
  void Control(const std::string& endpoint, std::function<void()> effect,
               std::function<void(bool)> done);

  FakeEndpoints& endpoints;
  base::Clock& shared_clock;
  ProcessClock& process_clock;
  base::Duration latency;
};

}  // namespace hawthornwheel::testing
