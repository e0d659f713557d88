#pragma once

#include <memory>
#include <string>

#include "base/result.h"
#include "fleet/peer_transport.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::peers {

/// Carries envelopes over ZeroMQ on the GLib main loop. Each process binds one
/// PULL socket and keeps one PUSH socket for each peer; all queues are bounded.
class ZmqTransport final : public fleet::PeerTransport {
 public:
  /// `metrics` must outlive the transport.
  explicit ZmqTransport(base::Metrics& metrics);
  ~ZmqTransport() override;

  /// Binds to `IP:port` and returns the address with the port that the kernel
  /// chose when it was 0.
  base::Result<std::string> Bind(const std::string& address);

  bool Send(const std::string& address,
            const wire::Envelope& envelope) override;
  void SetReceiver(
      std::function<void(const wire::Envelope&)> receiver) override;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::peers
