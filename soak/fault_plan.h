#pragma once

#include <string>

#include "base/timer.h"
#include "soak/soak_environment.h"
#include "support/random.h"

namespace hawthornwheel::soak {

/// Injects random faults, which may overlap, and ends lasting ones after a
/// random time. The seed of the environment determines the faults; the moments
/// at which processes observe them differ from run to run.
class FaultPlan {
 public:
  /// `environment` must outlive the plan.
  explicit FaultPlan(SoakEnvironment& environment);

  /// Starts to inject faults, if the options ask for them, and to restart
  /// processes that have ended.
  void Start();

  /// Stops the injection and ends all faults. Processes that are down are
  /// restarted by the periodic check, which goes on.
  void EndAllFaults();

  /// Returns the number of faults injected so far.
  std::uint64_t FaultCount() const { return this->fault_count; }

  /// Returns a description of every process that ended without a kill or stop
  /// from this plan.
  std::vector<std::string> UnexpectedExits() const {
    return this->unexpected_exits;
  }

 private:
  void ScheduleNext();
  void ScheduleSeries();
  void InjectFault();
  void InjectProcessFault(SoakMember& member);
  void InjectProxyFault(Proxy& proxy, const std::string& proxy_name);
  /// Starts a series of signals and configuration changes that follow each
  /// other within milliseconds, half of them to one process.
  void InjectSeries();
  void InjectSeriesStep(SoakMember& member);
  void ScheduleCuts();
  /// Ends connections to a few endpoints right after orders on them were
  /// carried out, sometimes during a long outage of the store.
  void InjectCuts();
  void CutConnections(std::size_t endpoint, base::Duration duration);
  void TakeStoreDown(base::Duration duration);
  void Pause(SoakMember& member, base::Duration duration);
  void InjectEndpointFault();
  void ScheduleOrderPhase();
  /// Loses or delays a share of the stop orders and loses the answers to a
  /// share of the start orders, for several seconds.
  void BeginOrderPhase();
  void ScheduleLostStops();
  /// Loses all stop orders of a few endpoints for several seconds.
  void LoseStops();
  void InjectStoreFault();
  void CheckProcesses();
  void RecordFault(const std::string& description);

  SoakMember& RandomMember();
  base::Duration RandomDuration();

  SoakEnvironment& environment;
  base::Timer timer;
  /// Apart from the other faults, so that their order by seed stays as it was
  /// when a seed was recorded.
  testing::Random series_random;
  base::Timer series_timer;
  testing::Random cut_random;
  base::Timer cut_timer;
  testing::Random order_random;
  base::Timer order_timer;
  /// Faults of orders that are in force.
  testing::LeasedEndpoints::Faults order_faults;
  testing::Random lost_stops_random;
  base::Timer lost_stops_timer;
  base::Timer process_check_timer;
  bool active = true;
  /// End of the outages of the store that have begun.
  base::TimePoint store_down_until;
  std::uint64_t fault_count = 0;
  std::vector<std::string> unexpected_exits;
};

}  // namespace hawthornwheel::soak
