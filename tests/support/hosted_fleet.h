#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/hosted_process.h"
#include "support/manual_clock.h"

namespace hawthornwheel::testing {

/// Processes, store and endpoints of the users' platform on a paused clock.
class HostedFleet {
 public:
  explicit HostedFleet(std::uint64_t seed = 1);
  ~HostedFleet();

  /// Adds an endpoint with `cpu_milli` of capacity and lists it in the store.
  void AddEndpoint(const std::string& id, const std::string& domain,
                   std::int64_t cpu_milli = 16'000, double pace = 1);

  /// Writes the endpoint's entry anew, draining or not.
  void SetDraining(const std::string& id, bool draining);

  /// Deletes the endpoint's entry, as the store does when it lapses.
  void DeleteEntry(const std::string& id);

  /// Publishes version `version` with the given routes; see PlainDecoder.
  void Publish(const std::string& configuration);

  /// A process of much less weight than another of its domain is an entry.
  HostedProcess& AddProcess(const std::string& name, const std::string& domain,
                            std::uint32_t weight = 1);
  HostedProcess& Process(const std::string& name);
  bool IsUp(const std::string& name) const;

  /// Ends a process at once.
  void Kill(const std::string& name);

  void Run(base::Duration span) { this->clock.Advance(span); }

  /// Submits a job of `tasks` tasks of `time` on 6.8 cores each, with a true
  /// declared run time, and returns where its answer will stand.
  std::shared_ptr<std::optional<jobs::JobAnswer>> Submit(
      const std::string& process, const std::string& path, int tasks,
      base::Duration time, runs::RunEndKind kind = runs::RunEndKind::kDone);

  /// As Submit(), for callers that want the job's id.
  std::string SubmitAndGetId(const std::string& process,
                             const std::string& path, int tasks,
                             base::Duration time);

  /// How many processes hold the endpoint in a usable state.
  int HoldersOf(const std::string& id) const;

  ManualClock clock;
  Random random;
  FakeNetwork network;
  KeyedStore store;
  LeasedEndpoints endpoints;
  std::vector<std::unique_ptr<HostedProcess>> processes;

 private:
  std::map<std::string, std::string> entries;
  std::uint64_t next_job = 1;
  std::uint64_t next_incarnation = 1;
};

}  // namespace hawthornwheel::testing
