#pragma once

#include <string>

#include "base/timer.h"
#include "soak/soak_environment.h"

namespace hawthornwheel::soak {

/// Faults that come at random, overlap, and are mended after random times. The
/// seed of the world chooses them; the moments at which processes see them
/// differ from run to run.
class FaultPlan {
 public:
  explicit FaultPlan(SoakEnvironment& environment);

  void Start();

  /// Ends all faults and starts the processes that are down.
  void EndAllFaults();

  std::uint64_t FaultCount() const { return this->fault_count; }

  /// Members that ended although nobody told them to.
  std::vector<std::string> UnexpectedExits() const {
    return this->unexpected_exits;
  }

 private:
  void ScheduleNext();
  void InjectFault();
  void InjectProcessFault(SoakMember& member);
  void InjectProxyFault(TcpProxy& proxy, const std::string& proxy_name);
  void InjectEndpointFault();
  void InjectStoreFault();
  void CheckProcesses();
  void RecordFault(const std::string& description);

  SoakMember& RandomMember();
  base::Duration RandomDuration();

  SoakEnvironment& environment;
  base::Timer timer;
  base::Timer process_check_timer;
  bool active = true;
  std::uint64_t fault_count = 0;
  std::vector<std::string> unexpected_exits;
};

}  // namespace hawthornwheel::soak
