#pragma once

#include <memory>
#include <string>

#include "base/metrics.h"
#include "dispatch/dispatcher.h"
#include "support/fake_endpoint_client.h"
#include "support/fake_network.h"
#include "support/fake_platform.h"
#include "support/fake_transport.h"
#include "support/process_clock.h"
#include "support/random.h"

namespace hawthornwheel::testing {

/// Holds what all processes of a test share.
struct TestEnvironment {
  base::Clock& clock;
  Random& random;
  FakeNetwork& network;
  FakePlatform& platform;
  FakeEndpoints& endpoints;
};

/// Runs the decision logic of one dispatcher process on fakes.
class TestProcess {
 public:
  /// `environment` must outlive the process.
  TestProcess(const TestEnvironment& environment,
              const std::string& incarnation, const std::string& domain,
              const std::string& address,
              const fleet::FleetSettings& fleet_settings,
              const dispatch::DispatchSettings& dispatch_settings);

  ProcessClock clock;
  base::Metrics metrics;
  std::string incarnation;
  std::string domain;
  FakeTransport transport;
  FakePlatformClient platform;
  FakeEndpointClient endpoints;
  dispatch::Dispatcher dispatcher;
};

}  // namespace hawthornwheel::testing
