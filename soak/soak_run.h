#pragma once

#include <string>
#include <vector>

#include "soak/fault_plan.h"
#include "soak/soak_callers.h"
#include "soak/soak_environment.h"

namespace hawthornwheel::soak {

/// One seed: a start, a time of faults under load, a calm time, and the checks.
class SoakRun {
 public:
  SoakRun(base::Clock& clock, const SoakOptions& options,
          std::function<void()> on_end);

  void Start();

  /// Broken promises, in words; complete when the run has ended.
  const std::vector<std::string>& Findings() const { return this->findings; }

  /// One line of figures.
  std::string Summary() const;

 private:
  void EndFaults();
  void EndLoad();
  void Check();

  SoakEnvironment environment;
  SoakCallers callers;
  FaultPlan fault_plan;
  std::function<void()> on_end;
  base::Timer timer;
  base::TimePoint fault_free_since;
  std::vector<std::string> findings;
};

}  // namespace hawthornwheel::soak
