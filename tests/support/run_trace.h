#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support/hosted_callers.h"
#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {

/// Records the runs and the submissions of a fleet, and finds the cause of each
/// violation that LeasedEndpoints reports. Assumes that no endpoint restarts.
class RunTrace {
 public:
  /// References must outlive the trace, which uses the log of the endpoints and
  /// the listener of the callers.
  RunTrace(HostedFleet& fleet, HostedCallers& callers);
  ~RunTrace();

  /// Sets the text that names the faults in force, for reports.
  void SetFaults(const std::string& names) { this->faults = names; }

  /// Numbers of violations by cause.
  const std::map<std::string, int>& Causes() const { return this->causes; }
  /// One line for each violation, with its cause and the faults in force.
  const std::vector<std::string>& Reports() const { return this->reports; }
  /// All that is recorded about the jobs of the violations, and the last
  /// seconds at their endpoints.
  const std::vector<std::string>& Details() const { return this->details; }

  /// Number of runs that ended over 0.3 s after the first submission that ended
  /// during the run.
  int SlowStops() const { return this->slow_stops; }
  /// Number of runs that ended over 1.3 s after that: callers send the job
  /// again by then.
  int OverdueStops() const { return this->overdue_stops; }

 private:
  struct RunRecord {
    std::string task;
    std::string endpoint;
    std::uint64_t run = 0;
    std::int64_t sent_ms = 0;
    std::int64_t started_ms = 0;
    /// Time of the first stop order that arrived, or 0.
    std::int64_t stop_ms = 0;
    /// Number of the submission that was the latest at the start.
    int attempt = 0;
    /// Incarnations of the processes where the job was open at the start, with
    /// their failure domains.
    std::map<std::string, std::string> coordinators;
    /// Time of the first end of a submission during the run, or 0.
    std::int64_t abandoned_ms = 0;
  };

  void OnCallerEvent(const HostedCallers::Event& event);
  void OnEndpointEvent(const std::string& line);
  void OnStart(const std::string& line);
  void OnEnd(const std::string& line);
  void ReportViolation(const RunRecord& second);
  void AddDetails(const std::string& endpoint, std::int64_t now);
  std::string CauseOf(const RunRecord& first, const RunRecord& second) const;
  std::map<std::string, std::string> CoordinatorsOf(
      const std::string& job) const;

  HostedFleet& fleet;
  HostedCallers& callers;
  std::string faults;
  /// Runs at work, by endpoint, task and run number.
  std::map<std::string, RunRecord> runs;
  std::map<std::string, int> attempts;
  std::map<std::string, std::vector<std::string>> lines_by_job;
  /// Time and text of each line, by endpoint.
  std::map<std::string, std::vector<std::pair<std::int64_t, std::string>>>
      lines_by_endpoint;
  std::uint64_t known_starts = 0;
  std::size_t known_violations = 0;
  int slow_stops = 0;
  int overdue_stops = 0;
  std::map<std::string, int> causes;
  std::vector<std::string> reports;
  std::vector<std::string> details;
};

}  // namespace hawthornwheel::testing
