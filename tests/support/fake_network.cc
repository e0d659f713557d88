#include "support/fake_network.h"

#include <utility>

namespace hawthornwheel::testing {
namespace {

constexpr base::Duration kMinDelay{300};

}  // namespace

FakeNetwork::FakeNetwork(base::Clock& clock, Random& random)
    : clock(clock), random(random) {}

void FakeNetwork::Attach(const std::string& address, const std::string& domain,
                         ProcessClock& clock,
                         std::function<void(const wire::Envelope&)> receiver) {
  this->peers[address] = {domain, &clock, std::move(receiver)};
  this->domains[address] = domain;
}

void FakeNetwork::Detach(const std::string& address) {
  this->peers.erase(address);
}

void FakeNetwork::Send(const std::string& from, const std::string& to,
                       const wire::Envelope& envelope) {
  Traffic& traffic = this->sent[from];
  ++traffic.messages;
  traffic.bytes += envelope.ByteSizeLong();
  const int copies = this->random.Chance(this->duplicated) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (this->IsLost(from, to)) continue;
    this->clock.StartTimer(this->DelayFor(from, to), [this, from, to,
                                                      envelope] {
      if (this->partitions.contains({this->domains[from], this->domains[to]})) {
        return;
      }
      if (this->cuts.contains({from, to})) return;
      this->Deliver(to, envelope);
    });
  }
}

void FakeNetwork::Deliver(const std::string& to,
                          const wire::Envelope& envelope) {
  const auto found = this->peers.find(to);
  if (found == this->peers.end()) return;
  const auto receiver = found->second.receiver;
  found->second.clock->Guard([receiver, envelope] { receiver(envelope); })();
}

void FakeNetwork::Partition(const std::string& from_domain,
                            const std::string& to_domain) {
  this->partitions.insert({from_domain, to_domain});
}

void FakeNetwork::Cut(const std::string& from, const std::string& to) {
  this->cuts.insert({from, to});
}

void FakeNetwork::HealAll() {
  this->partitions.clear();
  this->cuts.clear();
  this->disturbances.clear();
}

void FakeNetwork::Disturb(const std::string& from, const std::string& to,
                          const Disturbance& disturbance) {
  this->disturbances[{from, to}] = disturbance;
}

void FakeNetwork::Calm(const std::string& from, const std::string& to) {
  this->disturbances.erase({from, to});
}

void FakeNetwork::SetFaults(double lost, double duplicated,
                            base::Duration max_delay) {
  this->lost = lost;
  this->duplicated = duplicated;
  this->max_delay = max_delay;
}

bool FakeNetwork::IsLost(const std::string& from, const std::string& to) {
  const auto found = this->disturbances.find({from, to});
  if (found != this->disturbances.end() &&
      this->random.Chance(found->second.lost)) {
    return true;
  }
  return this->random.Chance(this->lost);
}

base::Duration FakeNetwork::DelayFor(const std::string& from,
                                     const std::string& to) {
  const auto found = this->disturbances.find({from, to});
  if (found != this->disturbances.end()) {
    return this->random.Between(found->second.min_delay,
                                found->second.max_delay);
  }
  return this->random.Between(kMinDelay, this->max_delay);
}

}  // namespace hawthornwheel::testing
