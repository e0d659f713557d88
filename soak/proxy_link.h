#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>

#include "base/timer.h"

namespace hawthornwheel::soak {

class TcpProxy;

/// Forwards one connection of a TcpProxy between the client's socket and the
/// socket to the server.
class ProxyLink {
 public:
  /// Takes ownership of both descriptors, which must be non-blocking. `proxy`
  /// must outlive the link.
  ProxyLink(TcpProxy& proxy, std::uint64_t id, int client, int server);
  ~ProxyLink();

  /// Stops forwarding for good; both sockets stay open.
  void Blackhole() { this->blackholed = true; }

  /// Forwards the queued bytes that the proxy's mode allows, and retries while
  /// some are left.
  void ForwardQueued();

  /// Makes both sides receive a reset when the link is destroyed.
  void ResetOnClose();

 private:
  enum Side { kClient = 0, kServer = 1 };

  /// Bytes of one read and the earliest time to forward them.
  struct Chunk {
    base::TimePoint due;
    std::string bytes;
  };

  /// Called when a socket is readable or closed. Removes the link when the
  /// connection has ended.
  void OnInput(Side side);
  /// Queues bytes for the other side; returns false when the connection has
  /// ended.
  bool ReadFrom(Side side);
  /// Writes queued bytes; returns whether a later retry can write more.
  bool WriteTo(Side side);
  /// Returns whether the mode holds back bytes to this side.
  bool IsHeld(Side to) const;

  TcpProxy& proxy;
  std::uint64_t id;
  std::array<int, 2> sockets;
  /// Bytes to be written to each side.
  std::array<std::deque<Chunk>, 2> queues;
  bool blackholed = false;
  base::Timer forward_timer;
};

}  // namespace hawthornwheel::soak
