#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet/config_fold.h"
#include "support/fake_endpoints.h"
#include "support/fake_network.h"
#include "support/fake_platform.h"
#include "support/manual_clock.h"
#include "support/random.h"
#include "support/test_process.h"
#include "wire/caller.pb.h"

namespace hawthornwheel::testing {

/// Counts the events of a scenario, so that a test can check that the scenario
/// was not empty.
struct ScenarioCounts {
  std::uint64_t jobs = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t resubmissions = 0;
  std::uint64_t kills = 0;
  std::uint64_t pauses = 0;
  std::uint64_t partitions = 0;
  std::uint64_t outages = 0;
  std::uint64_t config_changes = 0;
  std::uint64_t config_conflicts = 0;
};

/// Runs several dispatchers over fakes with random faults: dropped, delayed,
/// duplicated and reordered messages, network partitions, killed, paused and
/// restarted processes, and outages of the platform. The same seed gives the
/// same run.
class FaultScenario {
 public:
  explicit FaultScenario(std::uint64_t seed);
  ~FaultScenario();

  /// Runs the scenario to its end and returns every violated guarantee.
  std::vector<std::string> Run();

  const ScenarioCounts& Counts() const { return this->counts; }

 private:
  struct Vm {
    std::string name;
    std::string domain;
    std::string address;
    int restarts = 0;
    std::unique_ptr<TestProcess> process;
  };

  struct Submission {
    wire::SubmitRequest request;
    std::vector<wire::JobAnswer> answers;
  };

  void StartVm(Vm& vm);
  Vm& RandomVm();
  void PublishInitialConfig();
  void Publish(const std::string& service, std::uint64_t base_generation);
  std::string ServiceText(const std::string& service) const;

  void SubmitRandomJob();
  void Deliver(const std::string& key, const wire::SubmitRequest& request);
  void Cancel(const std::string& key);
  void Query(const std::string& key);
  void RecordAnswer(const std::string& key, const wire::JobAnswer& answer);

  void InjectFault();
  void Kill();
  void Pause();
  void PartitionNetwork();
  void DegradeNetwork();
  void DegradePlatform();
  void DegradeEndpoint();
  void PublishConcurrentChanges();
  void HealAll();
  void ExpireLog();

  /// Applies every new record of the log to the reference configuration, before
  /// retention removes any.
  void UpdateReferenceConfig();
  void CheckGenerationsNeverDecrease();
  void CheckSubmissions();
  void CheckConvergence();
  void AddViolation(const std::string& violation);
  void RunAfter(base::Duration delay, std::function<void()> callback);

  ManualClock clock;
  Random random;
  FakeNetwork network;
  FakePlatform platform;
  FakeEndpoints endpoints;
  TestEnvironment environment;
  fleet::FleetSettings fleet_settings;
  dispatch::DispatchSettings dispatch_settings;
  std::vector<Vm> vms;
  std::map<std::string, Submission> submissions;
  /// Highest generation seen in force, by incarnation and service.
  std::map<std::string, std::map<std::string, std::uint64_t>>
      highest_generations;
  fleet::ConfigFold reference_config;
  std::uint64_t last_change = 0;
  std::uint64_t last_job = 0;
  ScenarioCounts counts;
  std::vector<std::string> violations;
};

}  // namespace hawthornwheel::testing
