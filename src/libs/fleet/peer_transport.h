#pragma once

#include <functional>
#include <string>

#include "wire/peer.pb.h"

namespace hawthornwheel::fleet {

/// Carries envelopes between processes. Envelopes may be lost, delayed or
/// duplicated.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  /// Queues an envelope for the process at `address` (`IP:port`). Returns
  /// false, without sending anything, when the bounded queue is full.
  virtual bool Send(const std::string& address,
                    const wire::Envelope& envelope) = 0;

  /// Sets the function called with each received envelope.
  virtual void SetReceiver(
      std::function<void(const wire::Envelope&)> receiver) = 0;
};

}  // namespace hawthornwheel::fleet
