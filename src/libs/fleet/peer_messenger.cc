#include "fleet/peer_messenger.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "base/logger.h"
#include "base/metrics.h"

namespace hawthornwheel::fleet {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Logger kLog("peers");

bool IsAnswer(const wire::Envelope& envelope) {
  switch (envelope.body_case()) {
    case wire::Envelope::kAnswer:
    case wire::Envelope::kConfigSnapshot:
    case wire::Envelope::kLoanGrant:
    case wire::Envelope::kRefusal:
      return true;
    default:
      return false;
  }
}

}  // namespace

PeerMessenger::PeerMessenger(base::Clock& clock, PeerTransport& transport,
                             base::Metrics& metrics, std::string cluster,
                             std::string incarnation, std::string address)
    : clock(clock),
      transport(transport),
      metrics(metrics),
      cluster(std::move(cluster)),
      incarnation(std::move(incarnation)),
      address(std::move(address)) {
  this->transport.SetReceiver(
      [this](const wire::Envelope& envelope) { this->Receive(envelope); });
}

void PeerMessenger::SetHandler(wire::Envelope::BodyCase body, Handler handler) {
  this->handlers[body] = std::move(handler);
}

bool PeerMessenger::Notify(const std::string& address,
                           wire::Envelope envelope) {
  return this->Send(address, envelope);
}

void PeerMessenger::Request(const std::string& address, wire::Envelope envelope,
                            base::Duration timeout, AnswerHandler done) {
  const std::uint64_t correlation = this->next_correlation++;
  envelope.set_correlation(correlation);
  Pending& entry = this->pending[correlation];
  entry.address = address;
  entry.done = std::move(done);
  entry.timer = std::make_unique<base::Timer>(this->clock);
  const bool sent = this->Send(address, envelope);
  entry.timer->StartOnce(sent ? timeout : base::Duration{0}, [=, this] {
    this->CompleteRequest(correlation,
                          Error(ErrorKind::kHomeUnreachable,
                                sent ? "the peer did not answer"
                                     : "the send queue to the peer is full"));
  });
}

void PeerMessenger::FailRequestsTo(const std::string& address) {
  std::vector<std::uint64_t> failed;
  for (const auto& [correlation, entry] : this->pending) {
    if (entry.address == address) failed.push_back(correlation);
  }
  for (const std::uint64_t correlation : failed) {
    this->CompleteRequest(correlation, Error(ErrorKind::kHomeUnreachable,
                                             "the peer is no longer live"));
  }
}

void PeerMessenger::Reply(const wire::Envelope& request,
                          wire::Envelope answer) {
  answer.set_correlation(request.correlation());
  answer.set_recipient(request.sender());
  this->Send(request.sender_address(), answer);
}

void PeerMessenger::Receive(const wire::Envelope& envelope) {
  this->metrics.Count("peer.received");
  if (envelope.cluster() != this->cluster) {
    this->Refuse(
        envelope,
        fmt::format("the receiver belongs to cluster '{}', the sender to '{}'",
                    this->cluster, envelope.cluster()));
    return;
  }
  if (envelope.version() != kPeerProtocolVersion) {
    this->Refuse(
        envelope,
        fmt::format("the receiver speaks protocol version {}, the sender {}",
                    kPeerProtocolVersion, envelope.version()));
    return;
  }
  if (IsAnswer(envelope)) {
    if (envelope.recipient() != this->incarnation) {
      this->metrics.Count("peer.crossed_answers");
      return;
    }
    this->CompleteRequest(envelope.correlation(), envelope);
    return;
  }
  const auto handler = this->handlers.find(envelope.body_case());
  if (handler == this->handlers.end()) {
    this->metrics.Count("peer.unhandled");
    return;
  }
  handler->second(envelope);
}

void PeerMessenger::Refuse(const wire::Envelope& envelope,
                           const std::string& reason) {
  this->metrics.Count("peer.refused");
  if (envelope.has_refusal()) {
    if (envelope.recipient() != this->incarnation) return;
    kLog.Warning("A peer refused an envelope. sender={} reason=\"{}\"",
                 envelope.sender_address(), envelope.refusal().reason());
    this->CompleteRequest(
        envelope.correlation(),
        Error(ErrorKind::kPeerMismatch, envelope.refusal().reason()));
    return;
  }
  kLog.Warning("Refused an envelope. sender={} reason=\"{}\"",
               envelope.sender_address(), reason);
  wire::Envelope answer;
  answer.mutable_refusal()->set_reason(reason);
  this->Reply(envelope, std::move(answer));
}

void PeerMessenger::CompleteRequest(std::uint64_t correlation,
                                    base::Result<wire::Envelope> outcome) {
  const auto found = this->pending.find(correlation);
  if (found == this->pending.end()) {
    this->metrics.Count("peer.late_answers");
    return;
  }
  const AnswerHandler done = std::move(found->second.done);
  this->pending.erase(found);
  done(std::move(outcome));
}

bool PeerMessenger::Send(const std::string& address, wire::Envelope& envelope) {
  envelope.set_version(kPeerProtocolVersion);
  envelope.set_cluster(this->cluster);
  envelope.set_sender(this->incarnation);
  envelope.set_sender_address(this->address);
  this->metrics.Count("peer.sent");
  this->metrics.Count("peer.sent_bytes", envelope.ByteSizeLong());
  const bool sent = this->transport.Send(address, envelope);
  if (!sent) this->metrics.Count("peer.dropped");
  return sent;
}

}  // namespace hawthornwheel::fleet
