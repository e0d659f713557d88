#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "fleet/peer_transport.h"
#include "support/process_clock.h"
#include "support/random.h"

namespace hawthornwheel::testing {

/// Network between the processes of a test, that can drop, delay, double,
/// reorder and cut.
class FakeNetwork {
 public:
  /// References must outlive the network.
  FakeNetwork(base::Clock& clock, Random& random);

  /// Registers the process that takes mail for `address` in `domain`.
  void Attach(const std::string& address, const std::string& domain,
              ProcessClock& clock,
              std::function<void(const wire::Envelope&)> receiver);
  void Detach(const std::string& address);

  void Send(const std::string& from, const std::string& to,
            const wire::Envelope& envelope);

  /// Cuts or heals the way from one failure domain to another.
  void Partition(const std::string& from_domain, const std::string& to_domain);
  void HealAll();

  /// Messages and bytes that a process has sent so far.
  struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  const Traffic& SentBy(const std::string& address) {
    return this->sent[address];
  }

  /// Shares of messages that are lost or duplicated, and the longest delay.
  void SetFaults(double lost, double duplicated, base::Duration max_delay);

 private:
  struct Peer {
    std::string domain;
    ProcessClock* clock = nullptr;
    std::function<void(const wire::Envelope&)> receiver;
  };

  void Deliver(const std::string& to, const wire::Envelope& envelope);
  base::Duration Delay();

  base::Clock& clock;
  Random& random;
  std::map<std::string, Peer> peers;
  std::map<std::string, std::string> domains;
  std::set<std::pair<std::string, std::string>> partitions;
  std::map<std::string, Traffic> sent;
  double lost = 0;
  double duplicated = 0;
  base::Duration max_delay{2000};
};

}  // namespace hawthornwheel::testing
