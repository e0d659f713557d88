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

/// Version of the envelope that this program speaks.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

/// Addresses envelopes, refuses those of another cluster or version, and pairs
/// answers with requests.
class PeerMessenger {
 public:
  using Handler = std::function<void(const wire::Envelope&)>;
  using AnswerHandler = std::function<void(base::Result<wire::Envelope>)>;

  /// All references must outlive the messenger. `incarnation` and `address`
  /// name this process.
  PeerMessenger(base::Clock& clock, PeerTransport& transport,
                base::Metrics& metrics, std::string cluster,
                std::string incarnation, std::string address);

  /// Sets the handler for one kind of body.
  void SetHandler(wire::Envelope::BodyCase body, Handler handler);

  /// Sends without waiting for an answer.
  bool Notify(const std::string& address, wire::Envelope envelope);

  /// Sends and calls `done` once: with the answer, or with an error after
  /// `timeout` or when the envelope could not be queued.
  void Request(const std::string& address, wire::Envelope envelope,
               base::Duration timeout, AnswerHandler done);

  /// Ends requests to a process that is taken for dead.
  void FailRequestsTo(const std::string& address);

  /// Answers a request.
  void Reply(const wire::Envelope& request, wire::Envelope answer);

  /// Requests that wait for an answer.
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
