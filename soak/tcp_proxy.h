#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/timer.h"
#include "soak/proxy.h"
#include "soak/socket_set.h"

namespace hawthornwheel::soak {

class ProxyLink;

/// Forwards the connections of a proxy in this process.
class TcpProxy final : public Proxy {
 public:
  /// References must outlive the proxy.
  TcpProxy(base::Clock& clock, SocketSet& sockets);
  ~TcpProxy() override;

  std::string Listen() override;
  void SetTarget(const std::string& address) override {
    this->target = address;
  }
  void SetMode(ProxyMode new_mode) override;
  void Reset() override;
  void BlackholeConnections() override;

  ProxyMode Mode() const { return this->mode; }
  base::Clock& Clock() { return this->clock; }
  SocketSet& Sockets() { return this->sockets; }

  /// Closes and removes a link whose connection has ended.
  void RemoveLink(std::uint64_t link_id);

  /// Ends all connections a little later, so that requests on their way are
  /// delivered first; for ProxyMode::kEndAtAnswer.
  void EndLinksSoon();

 private:
  void Accept();

  base::Clock& clock;
  SocketSet& sockets;
  std::string target;
  ProxyMode mode = ProxyMode::kPass;
  int listener = -1;
  std::uint64_t next_link = 1;
  std::map<std::uint64_t, std::unique_ptr<ProxyLink>> links;
  base::Timer end_timer;
  /// Whether the connections that EndLinksSoon() ends next are reset.
  bool ends_with_reset = false;
};

}  // namespace hawthornwheel::soak
