#include "support/fake_network.h"

#include <utility>

namespace hawthornwheel::testing {
namespace {

constexpr base::Duration kShortestDelay{300};

}  // namespace

FakeNetwork::FakeNetwork(base::Clock& clock, Random& random)
    : clock(clock), random(random) {}

void FakeNetwork::Attach(const std::string& address, const std::string& domain,
                         ProcessClock& clock,
                         std::function<void(const wire::Envelope&)> receiver) {
  this->stations[address] = {domain, &clock, std::move(receiver)};
  this->domains[address] = domain;
}

void FakeNetwork::Detach(const std::string& address) {
  this->stations.erase(address);
}

void FakeNetwork::Send(const std::string& from, const std::string& to,
                       const wire::Envelope& envelope) {
  Traffic& traffic = this->sent[from];
  ++traffic.messages;
  traffic.bytes += envelope.ByteSizeLong();
  const int copies = this->random.Chance(this->doubled) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (this->random.Chance(this->lost)) continue;
    this->clock.StartTimer(this->Delay(), [this, from, to, envelope] {
      if (this->cuts.contains({this->domains[from], this->domains[to]})) {
        return;
      }
      this->Deliver(to, envelope);
    });
  }
}

void FakeNetwork::Deliver(const std::string& to,
                          const wire::Envelope& envelope) {
  const auto found = this->stations.find(to);
  if (found == this->stations.end()) return;
  const auto receiver = found->second.receiver;
  found->second.clock->Guard([receiver, envelope] { receiver(envelope); })();
}

void FakeNetwork::Partition(const std::string& from_domain,
                            const std::string& to_domain) {
  this->cuts.insert({from_domain, to_domain});
}

void FakeNetwork::HealAll() { this->cuts.clear(); }

void FakeNetwork::SetFaults(double lost, double doubled,
                            base::Duration max_delay) {
  this->lost = lost;
  this->doubled = doubled;
  this->max_delay = max_delay;
}

base::Duration FakeNetwork::Delay() {
  return this->random.Between(kShortestDelay, this->max_delay);
}

}  // namespace hawthornwheel::testing
