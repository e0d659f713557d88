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

/// Simulates several dispatcher processes with one service "s" of organisation
/// "t", on a ManualClock.
class SmallFleet {
 public:
  explicit SmallFleet(std::uint64_t seed = 1);
  ~SmallFleet();

  /// Adds an endpoint in `domain`, which receives tasks after the next
  /// Publish(). `slowness` is a factor on all run times.
  FakeEndpoint& AddEndpoint(const std::string& address,
                            const std::string& domain, double slowness = 1);

  /// Omits an endpoint, given as `address@domain`, from the next Publish().
  void RemoveEndpoint(const std::string& spec) {
    std::erase(this->specs, spec);
  }

  /// Publishes a service file with all endpoints, which ends with
  /// `extra_lines`.
  void Publish(const std::string& extra_lines = "[timeouts]\nlease = 1s\n");

  /// Starts a process with `name` as its incarnation. The default address is
  /// `name:1`.
  TestProcess& AddProcess(const std::string& name, const std::string& domain,
                          const std::string& address = "");

  /// Kills a process without a shutdown.
  void Kill(const std::string& name);

  TestProcess& Process(const std::string& name);

  /// Advances the clock.
  void Run(base::Duration span) { this->clock.Advance(span); }

  /// Submits a job of `tasks` tasks of `run_time` to a process. The returned
  /// answer is empty until the process answers.
  std::shared_ptr<wire::JobAnswer> Submit(const std::string& process, int tasks,
                                          base::Duration run_time,
                                          base::Duration timeout,
                                          const std::string& key = "");

  /// Number of task starts at all endpoints.
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
