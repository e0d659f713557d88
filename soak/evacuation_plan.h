#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/timer.h"
#include "soak/soak_environment.h"
#include "support/random.h"

namespace hawthornwheel::soak {

/// Publishes and removes evacuations of random failure domains, and checks that
/// no task starts in an evacuated domain after the users' limit, and that
/// domains are used after they were taken back.
class EvacuationPlan {
 public:
  /// `environment` must outlive the plan.
  explicit EvacuationPlan(SoakEnvironment& environment);

  /// Starts to publish evacuations, if the options ask for faults.
  void Start();

  /// Takes all domains back, and evacuates one of several until
  /// EndEvacuation().
  void EndFaults();
  void EndEvacuation();

  /// Returns a description of every start that came too late, and of every
  /// domain that was not used again.
  std::vector<std::string> Violations() const;

  /// Returns the number of evacuations, and the longest time from one to a
  /// start in its domain, as `key=value` pairs.
  std::string Summary() const;

 private:
  void TakeAllBack();
  void ScheduleNext();
  void Publish();
  void Evacuate(const std::string& domain);
  void TakeBack(const std::string& domain);
  void OnStart(const std::string& endpoint, base::TimePoint arrival);
  std::string RandomDomain();

  SoakEnvironment& environment;
  /// Apart from the other faults, so that their order by seed stays as it was
  /// when a seed was recorded.
  testing::Random random;
  base::Timer timer;
  bool active = true;
  bool ended = false;
  /// Domains of the endpoints, by id.
  std::map<std::string, std::string> domains;
  /// Time at which the evacuated domains were published, by domain.
  std::map<std::string, base::TimePoint> evacuated_since;
  std::uint64_t evacuations = 0;
  base::Duration latest_start{0};
  std::vector<std::string> late_starts;
  /// Number of starts since EndEvacuation(), by domain.
  std::map<std::string, std::uint64_t> calm_starts;
};

}  // namespace hawthornwheel::soak
