#pragma once

#include <functional>

#include "base/result.h"
#include "wire/platform.pb.h"

namespace hawthornwheel::control_log {

/// Fetches the platform's list of live and leaving VMs, which lags behind the
/// actual state.
class VmListClient {
 public:
  virtual ~VmListClient() = default;

  /// Fetches the list and calls `done` with it or an error. An empty list with
  /// version `known_version` means that nothing changed.
  virtual void Fetch(std::uint64_t known_version,
                     std::function<void(base::Result<wire::VmList>)> done) = 0;
};

}  // namespace hawthornwheel::control_log
