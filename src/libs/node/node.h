#pragma once

#include <functional>
#include <memory>

#include "base/result.h"
#include "node/node_settings.h"

namespace hawthornwheel::node {

/// Runs one dispatcher process on the project's own log, with all its sockets.
class Node {
 public:
  /// `on_stopped` is called when the drain is complete and the process may
  /// exit.
  Node(NodeSettings settings, std::function<void()> on_stopped);
  ~Node();

  /// Binds all addresses and starts the dispatcher. Fails when an address
  /// cannot be bound.
  base::Result<bool> Start();

  /// Starts the drain. A second call cancels the open jobs at once.
  void Stop();

  /// Return the addresses with the ports that the kernel chose. Valid after
  /// Start().
  std::string CallerAddress() const;
  std::string AdminAddress() const;

  /// Returns the state of the process as JSON.
  std::string Dump() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::node
