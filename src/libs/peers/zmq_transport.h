#pragma once

#include <memory>
#include <string>

#include "base/result.h"
#include "fleet/peer_transport.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::peers {

/// Sends and receives envelopes over ZeroMQ on the GLib main loop. Each process
/// binds one PULL socket and keeps one PUSH socket per peer. All queues are
/// bounded.
class ZmqTransport final : public fleet::PeerTransport {
 public:
  /// `metrics` must outlive the transport.
  explicit ZmqTransport(base::Metrics& metrics);
  ~ZmqTransport() override;

  /// Binds to `address` (`IP:port`) and returns the bound address; the kernel
  /// chooses the port when it is 0. Fails with kInvalidSettings when the
  /// address is malformed or cannot be bound.
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
