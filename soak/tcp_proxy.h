#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::soak {

class ProxyLink;

/// Ways in which a proxy can treat the bytes of its connections.
enum class ProxyMode {
  kPass,
  kDelay,
  /// Bytes wait, in one direction or in both, until the mode changes.
  kHoldToServer,
  kHoldToClient,
  kHoldBoth,
  /// New connections are closed at once, and open ones are reset.
  kRefuse,
};

/// Forwards TCP connections on loopback and disturbs them from outside.
class TcpProxy {
 public:
  /// `clock` must outlive the proxy.
  explicit TcpProxy(base::Clock& clock);
  ~TcpProxy();

  /// Listens on a free port of the loopback interface; returns `IP:port`.
  std::string Listen();

  /// `IP:port` that new connections lead to.
  void SetTarget(const std::string& address) { this->target = address; }

  void SetMode(ProxyMode new_mode);

  /// Resets the open connections.
  void Reset();

  /// Leaves the open connections open and silent for good; new ones work.
  void BlackholeConnections();

  ProxyMode Mode() const { return this->mode; }
  base::Clock& Clock() { return this->clock; }

  /// Called by a link that has ended.
  void RemoveLink(std::uint64_t link_id);

 private:
  void Accept();

  base::Clock& clock;
  std::string target;
  ProxyMode mode = ProxyMode::kPass;
  int listener = -1;
  unsigned accept_source_id = 0;
  std::uint64_t next_link = 1;
  std::map<std::uint64_t, std::unique_ptr<ProxyLink>> links;
};

}  // namespace hawthornwheel::soak
