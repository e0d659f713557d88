#pragma once

#include <string>
#include <vector>

#include "soak/evacuation_plan.h"
#include "soak/fault_plan.h"
#include "soak/soak_callers.h"
#include "soak/soak_environment.h"

namespace hawthornwheel::soak {

/// Runs one seed: startup, faults under load, recovery, a fault-free phase
/// under lower load, and the checks.
class SoakRun {
 public:
  /// `clock` must outlive the run; `on_end` is called once the checks are done.
  SoakRun(base::Clock& clock, const SoakOptions& options,
          std::function<void()> on_end);

  /// Starts the first phase.
  void Start();

  /// Returns a description of every failed check; complete when the run has
  /// ended.
  const std::vector<std::string>& Findings() const { return this->findings; }

  /// Returns the figures of the run as one line of `key=value` pairs.
  /// `calm_served` is the completed share of the fault-free phase.
  std::string Summary() const;

 private:
  /// Ends the faults, then waits for the recovery, during which one domain is
  /// evacuated, and for the fault-free phase.
  void EndFaults();
  void EndLoad();
  void Check();

  SoakEnvironment environment;
  SoakCallers callers;
  FaultPlan fault_plan;
  EvacuationPlan evacuation_plan;
  std::function<void()> on_end;
  base::Timer timer;
  /// Start of the fault-free phase, after the recovery.
  base::TimePoint fault_free_since;
  std::vector<std::string> findings;
};

}  // namespace hawthornwheel::soak
