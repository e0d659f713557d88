#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>

#include "base/timer.h"

namespace hawthornwheel::soak {

class TcpProxy;

/// One connection through a TcpProxy: a client's socket and one to the server.
class ProxyLink {
 public:
  /// Takes over both descriptors, which do not block.
  ProxyLink(TcpProxy& proxy, std::uint64_t id, int client, int server);
  ~ProxyLink();

  /// Never forwards a byte from now on.
  void Blackhole() { this->blackholed = true; }

  /// Forwards what the proxy's mode allows.
  void ForwardQueued();

  /// Makes both sides see a reset.
  void ResetOnClose();

 private:
  enum Side { kClient = 0, kServer = 1 };

  struct Chunk {
    base::TimePoint due;
    std::string bytes;
  };

  struct InputContext {
    ProxyLink* link = nullptr;
    Side side = kClient;
  };

  static int OnReadable(int descriptor, unsigned condition, void* data);
  bool ReadFrom(Side side);
  bool WriteTo(Side side);
  bool IsHeld(Side to) const;

  TcpProxy& proxy;
  std::uint64_t id;
  std::array<int, 2> sockets;
  std::array<unsigned, 2> source_ids{};
  std::array<InputContext, 2> inputs;
  /// Bytes on their way to each side.
  std::array<std::deque<Chunk>, 2> queues;
  bool blackholed = false;
  base::Timer forward_timer;
};

}  // namespace hawthornwheel::soak
