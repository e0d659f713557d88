#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "runs/endpoint_session.h"
#include "support/choices.h"
#include "support/manual_clock.h"
#include "support/model_endpoint.h"
#include "support/model_orders.h"
#include "support/process_clock.h"
#include "support/start_watch.h"

namespace hawthornwheel::testing {

/// Plays one order of events between one endpoint and the sessions of one or
/// two processes, with an owner of the tasks that places each again as the
/// coordinator of a job does.
class OrderWorld {
 public:
  struct Setup {
    /// A second process claims the endpoint within 1 ms of the first.
    bool two_claims = false;
    bool slow_clock = false;
    /// The endpoint grants leases from the arrival of their orders on.
    bool lease_on_arrival = false;
    /// The job of a run that is to stop has ended, so the run must have ended
    /// by the time at which a copy of the job may come.
    bool jobs_end = false;
    /// Whether a trace of the events is kept.
    bool traced = false;
  };

  OrderWorld(Choices& choices, const Setup& setup);

  /// Plays the events, then lets everything end without faults.
  void Play();

  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  /// Violations from the first one on that a start has caused which was sent to
  /// an earlier incarnation of the endpoint, or while it was down, and which a
  /// later one has carried out: it knows neither fencing token nor lease. A
  /// start of a run that has ended as kNotRun never counts among them.
  const std::vector<std::string>& OpenViolations() const {
    return this->open_violations;
  }
  const std::vector<std::string>& Trace() const { return this->trace; }
  std::uint64_t Polls() const;

 private:
  using RunKey = ModelEndpoint::RunKey;

  struct Process {
    Process(OrderWorld& world, const std::string& name);

    std::string name;
    ProcessClock clock;
    ModelOrders orders;
    StartWatch watch;
    base::Metrics metrics;
    runs::FencingTokenGenerator tokens;
    std::uint64_t last_fence = 0;
    base::TimePoint claim_at;
    std::unique_ptr<runs::EndpointSession> session;
  };

  struct Task {
    std::string name;
    catalog::Resources resources;
    std::uint64_t run = 1;
    std::size_t process = 0;
    bool placed = false;
    bool ended = false;
    base::TimePoint give_up_at;
  };

  void Claim(Process& process);
  void Reconcile();
  void PlaceNext();
  void TryPlace(std::size_t index);
  bool PlaceAt(Process& process, std::size_t index);
  void OnEnd(std::size_t index, std::uint64_t run, runs::RunOutcome outcome);
  void OnList(const Process& process);
  void OnStart(const RunKey& key);
  void PlayEvent(int event);
  void Restart(base::Duration down, bool closes);
  void Pause(std::size_t process, base::Duration span);
  void Cut(std::size_t process, base::Duration span);
  void StopLatest();
  void CheckEnded(const RunKey& key);
  void CheckEnd();
  void Violate(const std::string& text);
  void Record(const std::string& text, std::vector<std::string>& list);
  void Note(const std::string& text);

  ManualClock clock;
  Choices& choices;
  Setup setup;
  runs::RunSettings settings;
  std::vector<std::string> trace;
  std::vector<std::string> violations;
  std::vector<std::string> open_violations;
  /// Whether a violation of the known cause has occurred.
  bool is_open = false;
  std::set<RunKey> ended_runs;
  /// Runs that have ended as kNotRun.
  std::set<RunKey> refused_runs;
  /// Runs whose start was sent to an earlier incarnation than the one that has
  /// carried it out.
  std::set<RunKey> overtaken_runs;
  std::map<std::string, std::int64_t> cpu;
  ModelEndpoint endpoint;
  catalog::EndpointEntry entry;
  std::vector<Task> tasks;
  std::size_t next_task = 0;
  std::vector<std::unique_ptr<Process>> processes;
  base::Timer reconcile_timer;
};

}  // namespace hawthornwheel::testing
