#pragma once

#include <functional>
#include <memory>

#include "base/result.h"
#include "node/node_settings.h"

namespace hawthornwheel::node {

/// One process of the system: the dispatcher with its sockets.
class Node {
 public:
  /// `on_stopped` runs when a planned stop has ended and the process may exit.
  Node(NodeSettings settings, std::function<void()> on_stopped);
  ~Node();

  /// Binds all addresses and starts.
  base::Result<bool> Start();

  /// Begins a planned stop; a second call ends at once what is left.
  void Stop();

  /// Addresses with the ports that the kernel chose; valid after Start().
  std::string CallerAddress() const;
  std::string AdminAddress() const;

  /// State of the process as JSON.
  std::string Dump() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::node
