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

/// Simulates the network between the processes of a test. It can drop, delay,
/// duplicate and reorder messages and partition failure domains or
/// single processes.
class FakeNetwork {
 public:
  /// References must outlive the network.
  FakeNetwork(base::Clock& clock, Random& random);

  /// Registers the process that receives messages for `address` in `domain`.
  void Attach(const std::string& address, const std::string& domain,
              ProcessClock& clock,
              std::function<void(const wire::Envelope&)> receiver);
  void Detach(const std::string& address);

  void Send(const std::string& from, const std::string& to,
            const wire::Envelope& envelope);

  /// Drops all messages from one failure domain to another until HealAll(). The
  /// opposite direction is unaffected.
  void Partition(const std::string& from_domain, const std::string& to_domain);
  /// Drops all messages from one process to another until HealAll(). The
  /// opposite direction is unaffected.
  void Cut(const std::string& from, const std::string& to);
  void HealAll();

  /// Fate of the messages of one process to another around a reset of their
  /// connection.
  struct Disturbance {
    /// Fraction of messages, from 0 to 1, that are lost.
    double lost = 0;
    /// Bounds of the delay of the others. Later messages overtake them.
    base::Duration min_delay{0};
    base::Duration max_delay{0};
  };
  /// Applies to the messages that are sent until Calm() or HealAll(). The
  /// opposite direction is unaffected.
  void Disturb(const std::string& from, const std::string& to,
               const Disturbance& disturbance);
  void Calm(const std::string& from, const std::string& to);

  /// Counts the messages and bytes that a process has sent.
  struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  const Traffic& SentBy(const std::string& address) {
    return this->sent[address];
  }

  /// Sets the fractions, from 0 to 1, of messages that are lost and duplicated,
  /// and the maximum delay of a message.
  void SetFaults(double lost, double duplicated, base::Duration max_delay);

 private:
  struct Peer {
    std::string domain;
    ProcessClock* clock = nullptr;
    std::function<void(const wire::Envelope&)> receiver;
  };

  void Deliver(const std::string& to, const wire::Envelope& envelope);
  base::Duration DelayFor(const std::string& from, const std::string& to);
  bool IsLost(const std::string& from, const std::string& to);

  base::Clock& clock;
  Random& random;
  std::map<std::string, Peer> peers;
  std::map<std::string, std::string> domains;
  std::set<std::pair<std::string, std::string>> partitions;
  std::set<std::pair<std::string, std::string>> cuts;
  std::map<std::pair<std::string, std::string>, Disturbance> disturbances;
  std::map<std::string, Traffic> sent;
  double lost = 0;
  double duplicated = 0;
  base::Duration max_delay{2000};
};

}  // namespace hawthornwheel::testing
