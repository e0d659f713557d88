#pragma once

#include <string>

namespace hawthornwheel::soak {

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
  /// Requests are forwarded, answers are not: shortly after the first answer
  /// has arrived, all connections are ended, by turns with and without a reset.
  kEndAtAnswer,
};

/// Forwards TCP connections on loopback and injects network faults into them.
class Proxy {
 public:
  virtual ~Proxy() = default;

  /// Listens on a free port of the loopback interface; returns `IP:port`.
  virtual std::string Listen() = 0;

  /// Sets the `IP:port` that new connections are forwarded to.
  virtual void SetTarget(const std::string& address) = 0;

  /// Sets the mode of all connections, open ones included.
  virtual void SetMode(ProxyMode new_mode) = 0;

  /// Resets the open connections.
  virtual void Reset() = 0;

  /// Stops forwarding on all open connections for good without closing them;
  /// new connections work.
  virtual void BlackholeConnections() = 0;
};

}  // namespace hawthornwheel::soak
