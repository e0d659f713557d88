#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ini_file.h"
#include "base/result.h"
#include "node/platform_node_settings.h"

namespace hawthornwheel::node {

/// Runs one dispatcher process on the users' platform, with all its sockets.
class PlatformNode {
 public:
  /// `on_stopped` is called when the drain is complete and the process may
  /// exit.
  PlatformNode(PlatformNodeSettings settings, std::function<void()> on_stopped);
  ~PlatformNode();

  /// Binds all addresses and starts. Fails when an address cannot be bound.
  base::Result<bool> Start();

  /// Applies the changed drain time, weight, store address, wall-clock offset,
  /// and run and job settings. Other changes take effect at the next start; a
  /// warning is logged when an address of this process has changed.
  void Reload(const PlatformNodeSettings& settings);

  /// Records that a changed settings file has `faults` and was not applied. The
  /// process would not start with it, so Dump() shows the faults and the metric
  /// `settings.refused` is 1 until a reload succeeds.
  void RefuseReload(const std::vector<base::IniFault>& faults);

  /// Starts the drain, whose time counts from `requested_at`. A second call
  /// interrupts the open jobs and stops once they are answered.
  void Stop(base::TimePoint requested_at);

  /// Returns the address at which the process serves callers, `IP:port`, after
  /// Start().
  std::string CallerAddress() const;

  /// Returns the state of the process as JSON.
  std::string Dump() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::node
