#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

namespace hawthornwheel::soak {

/// Watches sockets for input through a single source of the main loop, which
/// visits each of its sources in every iteration.
class SocketSet {
 public:
  SocketSet();
  SocketSet(const SocketSet&) = delete;
  SocketSet& operator=(const SocketSet&) = delete;
  ~SocketSet();

  /// Calls `on_input` whenever the socket is readable or closed.
  void Add(int socket, std::function<void()> on_input);

  /// Must be called before the socket is closed; also from `on_input`.
  void Remove(int socket);

 private:
  void HandleEvents();

  int poll_descriptor;
  /// GLib source of the descriptor.
  unsigned source_id;
  std::unordered_map<int, std::shared_ptr<std::function<void()>>> handlers;
};

}  // namespace hawthornwheel::soak
