#pragma once

#include <functional>

#include "base/result.h"
#include "wire/platform.pb.h"

namespace hawthornwheel::control_log {

/// Client of the platform's lagging list of live and leaving VMs.
class VmListClient {
 public:
  virtual ~VmListClient() = default;

  /// Fetches the list. An empty answer of the version that is already known
  /// means that nothing changed.
  virtual void Fetch(std::uint64_t known_version,
                     std::function<void(base::Result<wire::VmList>)> done) = 0;
};

}  // namespace hawthornwheel::control_log
