#pragma once

#include <functional>
#include <string>

#include "fleet/peer_transport.h"
#include "support/fake_network.h"

namespace hawthornwheel::testing {

/// Connects one process of a test to the fake network.
class FakeTransport final : public fleet::PeerTransport {
 public:
  FakeTransport(FakeNetwork& network, std::string address, std::string domain,
                ProcessClock& clock)
      : network(network), address(std::move(address)) {
    this->network.Attach(this->address, domain, clock,
                         [this](const wire::Envelope& envelope) {
                           if (this->receiver) this->receiver(envelope);
                         });
  }
  ~FakeTransport() override { this->network.Detach(this->address); }

  bool Send(const std::string& to, const wire::Envelope& envelope) override {
    this->network.Send(this->address, to, envelope);
    return true;
  }
  void SetReceiver(
      std::function<void(const wire::Envelope&)> receiver) override {
    this->receiver = std::move(receiver);
  }

 private:
  FakeNetwork& network;
  std::string address;
  std::function<void(const wire::Envelope&)> receiver;
};

}  // namespace hawthornwheel::testing
