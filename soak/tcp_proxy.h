#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::soak {

class ProxyLink;

/// How a proxy treats the bytes of its connections.
enum class ProxyMode {
  /// Bytes are forwarded at once.
  kPass,
  /// Bytes are forwarded after a fixed delay.
  kDelay,
  /// Bytes are held back, in one direction or in both, until the mode changes.
  kHoldToServer,
  kHoldToClient,
  kHoldBoth,
  /// New connections are closed at once, and open connections are reset.
  kRefuse,
};

/// Forwards TCP connections on loopback and injects network faults into them.
class TcpProxy {
 public:
  /// `clock` must outlive the proxy.
  explicit TcpProxy(base::Clock& clock);
  ~TcpProxy();

  /// Listens on a free port of the loopback interface; returns `IP:port`.
  std::string Listen();

  /// Sets the `IP:port` that new connections are forwarded to.
  void SetTarget(const std::string& address) { this->target = address; }

  /// Sets the mode of all connections, open ones included.
  void SetMode(ProxyMode new_mode);

  /// Resets the open connections.
  void Reset();

  /// Stops forwarding on all open connections for good without closing them;
  /// new connections work.
  void BlackholeConnections();

  ProxyMode Mode() const { return this->mode; }
  base::Clock& Clock() { return this->clock; }

  /// Closes and removes a link whose connection has ended.
  void RemoveLink(std::uint64_t link_id);

 private:
  void Accept();

  base::Clock& clock;
  std::string target;
  ProxyMode mode = ProxyMode::kPass;
  int listener = -1;
  /// GLib source of the listener; 0 for none.
  unsigned accept_source_id = 0;
  std::uint64_t next_link = 1;
  std::map<std::uint64_t, std::unique_ptr<ProxyLink>> links;
};

}  // namespace hawthornwheel::soak
