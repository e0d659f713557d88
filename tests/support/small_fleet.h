#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "support/fake_endpoints.h"
#include "support/fake_network.h"
#include "support/fake_platform.h"
#include "support/manual_clock.h"
#include "support/random.h"
#include "support/test_process.h"

namespace hawthornwheel::testing {

/// A few dispatchers on a paused clock, with one service "s" of organisation
/// "t".
class SmallFleet {
 public:
  explicit SmallFleet(std::uint64_t seed = 1);
  ~SmallFleet();

  /// Adds an endpoint in `domain`; it serves once Publish() is called.
  FakeEndpoint& AddEndpoint(const std::string& address,
                            const std::string& domain, double slowness = 1);

  /// Leaves an endpoint, as `address@domain`, out of the next Publish().
  void RemoveEndpoint(const std::string& spec) {
    std::erase(this->specs, spec);
  }

  /// Publishes the service with all endpoints, and `extra_lines` lines.
  void Publish(const std::string& extra_lines = "[timeouts]\nlease = 1s\n");

  /// Starts a process whose incarnation is its name.
  TestProcess& AddProcess(const std::string& name, const std::string& domain,
                          const std::string& address = "");

  /// Ends a process at once.
  void Kill(const std::string& name);

  TestProcess& Process(const std::string& name);

  /// Advances the clock.
  void Run(base::Duration span) { this->clock.Advance(span); }

  /// Submits a job of `tasks` tasks of `run_time` to a process and returns
  /// where its answer will stand.
  std::shared_ptr<wire::JobAnswer> Submit(const std::string& process, int tasks,
                                          base::Duration run_time,
                                          base::Duration timeout,
                                          const std::string& key = "");

  /// Starts at all endpoints.
  std::uint64_t Starts() const;

  ManualClock clock;
  Random random;
  FakeNetwork network;
  FakePlatform platform;
  FakeEndpoints endpoints;
  TestEnvironment environment;
  fleet::FleetSettings fleet_settings;
  dispatch::DispatchSettings dispatch_settings;
  std::vector<std::unique_ptr<TestProcess>> processes;

 private:
  std::vector<std::string> specs;
  std::uint64_t generation = 0;
};

}  // namespace hawthornwheel::testing
