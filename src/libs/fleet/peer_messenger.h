#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "base/timer.h"
#include "fleet/peer_transport.h"
#include "wire/peer.pb.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::fleet {

/// Version of the peer protocol that this program supports.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

/// Sends and receives envelopes: sets their sender, refuses envelopes of
/// another cluster or protocol version, and matches answers to requests.
class PeerMessenger {
 public:
  using Handler = std::function<void(const wire::Envelope&)>;
  using AnswerHandler = std::function<void(base::Result<wire::Envelope>)>;

  /// All references must outlive the messenger. `incarnation` and `address`
  /// (`IP:port`) identify this process.
  PeerMessenger(base::Clock& clock, PeerTransport& transport,
                base::Metrics& metrics, std::string cluster,
                std::string incarnation, std::string address);

  /// Sets the handler for requests and notifications with the given body.
  void SetHandler(wire::Envelope::BodyCase body, Handler handler);

  /// Sends an envelope that expects no answer. Returns false when the send
  /// queue is full.
  bool Notify(const std::string& address, wire::Envelope envelope);

  /// Sends a request and calls `done` once: with the answer, with
  /// kHomeUnreachable after `timeout`, when the send queue is full or when
  /// FailRequestsTo() is called, or with kPeerMismatch when the peer refuses.
  void Request(const std::string& address, wire::Envelope envelope,
               base::Duration timeout, AnswerHandler done);

  /// Fails all pending requests to `address` with kHomeUnreachable, because the
  /// process there is no longer live.
  void FailRequestsTo(const std::string& address);

  /// Sends an answer to the sender of a request.
  void Reply(const wire::Envelope& request, wire::Envelope answer);

  /// Returns the number of requests that wait for an answer.
  std::size_t PendingRequests() const { return this->pending.size(); }

 private:
  struct Pending {
    std::string address;
    AnswerHandler done;
    std::unique_ptr<base::Timer> timer;
  };

  void Receive(const wire::Envelope& envelope);
  void Refuse(const wire::Envelope& envelope, const std::string& reason);
  void CompleteRequest(std::uint64_t correlation,
                       base::Result<wire::Envelope> outcome);
  bool Send(const std::string& address, wire::Envelope& envelope);

  base::Clock& clock;
  PeerTransport& transport;
  base::Metrics& metrics;
  std::string cluster;
  std::string incarnation;
  std::string address;
  std::uint64_t next_correlation = 1;
  std::map<wire::Envelope::BodyCase, Handler> handlers;
  std::map<std::uint64_t, Pending> pending;
};

}  // namespace hawthornwheel::fleet
