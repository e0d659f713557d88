#pragma once

#include <functional>
#include <string>

#include "wire/peer.pb.h"

namespace hawthornwheel::fleet {

/// Carries envelopes between processes. Messages may be lost, delayed or
/// doubled.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  /// Queues an envelope for the process at `address`. Returns false when the
  /// bounded queue is full, in which case nothing was sent.
  virtual bool Send(const std::string& address,
                    const wire::Envelope& envelope) = 0;

  /// Sets the function that takes incoming envelopes.
  virtual void SetReceiver(
      std::function<void(const wire::Envelope&)> receiver) = 0;
};

}  // namespace hawthornwheel::fleet
