#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/hosted_process.h"
#include "support/manual_clock.h"

namespace hawthornwheel::testing {

/// Simulates a fleet on the users' platform: processes, metadata store and
/// endpoints, on a ManualClock.
class HostedFleet {
 public:
  explicit HostedFleet(std::uint64_t seed = 1);
  ~HostedFleet();

  /// Adds an endpoint with a capacity of `cpu_milli` thousandths of a core and
  /// writes its record to the store. `pace` is a factor on all run times,
  /// `clock_rate` the speed of the endpoint's clock. The endpoint has `label`
  /// unless that is empty.
  void AddEndpoint(const std::string& id, const std::string& domain,
                   std::int64_t cpu_milli = 16'000, double pace = 1,
                   double clock_rate = 1, const std::string& label = "");

  /// Rewrites the endpoint's record in the store with these labels.
  void SetLabels(const std::string& id, std::vector<std::string> labels);

  /// Crashes an endpoint and starts it again after `downtime`, with a new
  /// record once the store is up.
  void RestartEndpoint(const std::string& id, LeasedEndpoints::CrashKind kind,
                       base::Duration downtime);

  /// Crashes an endpoint and starts the endpoint `new_id` at its address after
  /// `downtime`. The record of the old one expires `expiry` later.
  void ReplaceEndpoint(const std::string& id, const std::string& new_id,
                       LeasedEndpoints::CrashKind kind, base::Duration downtime,
                       base::Duration expiry);

  /// Writes the endpoint's record once the store is up.
  void PublishEntry(const std::string& id);

  /// Rewrites the endpoint's record in the store with or without the draining
  /// mark.
  void SetDraining(const std::string& id, bool draining);

  /// Deletes the endpoint's record, as the store does when the record expires.
  void DeleteEntry(const std::string& id);

  /// Publishes a configuration in the format of PlainDecoder: a version and its
  /// routes.
  void Publish(const std::string& configuration);

  /// Publishes that a failure domain is evacuated, or taken back into use.
  void SetEvacuated(const std::string& domain, bool evacuated);

  /// Starts a process. A process whose weight is below half of the highest
  /// weight of its domain becomes an entry: it holds no endpoints and hands
  /// each job to a coordinator of the domain.
  HostedProcess& AddProcess(const std::string& name, const std::string& domain,
                            std::uint32_t weight = 1);
  HostedProcess& Process(const std::string& name);
  bool IsUp(const std::string& name) const;

  /// Kills a process without a shutdown.
  void Kill(const std::string& name);

  void Run(base::Duration span) { this->clock.Advance(span); }

  /// Submits a job of `tasks` tasks that each run for `time` on 6.8 cores, with
  /// an exact run time estimate. The returned optional is empty until the
  /// process answers. `kind` is how each run ends.
  std::shared_ptr<std::optional<jobs::JobAnswer>> Submit(
      const std::string& process, const std::string& path, int tasks,
      base::Duration time, runs::RunEndKind kind = runs::RunEndKind::kDone);

  /// Like Submit(), with the run time estimate `estimate`.
  std::shared_ptr<std::optional<jobs::JobAnswer>> SubmitWithEstimate(
      const std::string& process, const std::string& path, int tasks,
      base::Duration time, base::Duration estimate,
      runs::RunEndKind kind = runs::RunEndKind::kDone);

  /// Returns a new job like those of Submit(), which may be submitted several
  /// times.
  jobs::JobRequest NewRequest(const std::string& path, int tasks,
                              base::Duration time, base::Duration estimate,
                              runs::RunEndKind kind);

  /// Like Submit(), but returns the job's id.
  std::string SubmitAndGetId(const std::string& process,
                             const std::string& path, int tasks,
                             base::Duration time);

  /// Returns the number of processes whose session to the endpoint is open.
  int HoldersOf(const std::string& id) const;

  ManualClock clock;
  Random random;
  FakeNetwork network;
  KeyedStore store;
  LeasedEndpoints endpoints;
  std::vector<std::unique_ptr<HostedProcess>> processes;
  /// Whether the records of endpoints name the start of their incarnation, as
  /// on the platform. Such a record has to be published again after a restart.
  bool entries_name_start = false;

 private:
  struct EndpointRecord {
    std::string domain;
    std::int64_t cpu_milli = 0;
    std::string address;
    bool draining = false;
    std::vector<std::string> labels = {};
  };

  void WriteEntry(const std::string& id);

  std::map<std::string, EndpointRecord> entries;
  std::uint64_t next_job = 1;
  std::uint64_t next_incarnation = 1;
};

}  // namespace hawthornwheel::testing
