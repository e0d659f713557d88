#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "base/clock.h"
#include "control_log/log_client.h"
#include "control_log/vm_list_client.h"
#include "standins/memory_log.h"
#include "support/process_clock.h"
#include "support/random.h"

namespace hawthornwheel::testing {

/// Holds the platform of a test, shared by all its processes.
struct FakePlatform {
  standins::MemoryLog log;
  wire::VmList vms;
  /// Makes all calls fail: appends, reads of the log and of the VM list.
  bool down = false;
  /// Fraction of appends, from 0 to 1, that take effect without an answer.
  double lost_answers = 0;
  base::Duration max_delay{5000};
  /// Failure domains that cannot reach the platform.
  std::set<std::string> partitioned_domains;
};

/// Connects one process of a test to the fake platform.
class FakePlatformClient final : public control_log::LogClient,
                                 public control_log::VmListClient {
 public:
  /// References must outlive the client.
  FakePlatformClient(FakePlatform& platform, base::Clock& shared_clock,
                     ProcessClock& process_clock, Random& random,
                     std::string domain);

  void Append(const wire::LogRecord& record,
              std::function<void(base::Result<std::uint64_t>)> done) override;
  void Read(
      std::uint64_t offset,
      std::function<void(base::Result<control_log::LogBatch>)> done) override;
  void Fetch(std::uint64_t known_version,
             std::function<void(base::Result<wire::VmList>)> done) override;

  /// Sets whether this process can reach the list of VMs.
  void SetVmListReachable(bool reachable) {
    this->vm_list_reachable = reachable;
  }

 private:
  bool IsReachable() const;
  void RunDelayed(std::function<void()> callback);

  FakePlatform& platform;
  base::Clock& shared_clock;
  ProcessClock& process_clock;
  Random& random;
  std::string domain;
  bool vm_list_reachable = true;
};

}  // namespace hawthornwheel::testing
