#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/timer.h"
#include "dispatch/dispatch_board.h"
#include "wire/peer.pb.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::fleet {
class PeerMessenger;
}

namespace hawthornwheel::dispatch {

/// Lends free slots of owned endpoints to other processes under leases. Nothing
/// is lent while a task waits here.
///
/// Owns on the blackboard: `lent` of EndpointState.
class SlotLender {
 public:
  /// All references must outlive the lender. It lends nothing unless `enabled`.
  SlotLender(base::Clock& clock, fleet::PeerMessenger& messenger,
             DispatchBoard& board, base::Metrics& metrics, bool enabled);

  /// Starts to take back what was not renewed.
  void Start();

  /// Sets the function called after slots came back.
  void SetSlotListener(std::function<void()> listener);

 private:
  /// Slots lent to one process at one endpoint.
  struct LentSlots {
    std::uint32_t slots = 0;
    base::TimePoint until;
  };
  /// Borrower and endpoint.
  using LentKey = std::pair<std::string, std::string>;

  void Lend(const wire::Envelope& request);
  void LendFrom(const ServiceLoad& load, const std::string& borrower,
                std::uint32_t slots, wire::SlotLoanGrant& grant);
  void Renew(const wire::Envelope& request);
  void TakeBack(const wire::Envelope& message);
  std::uint32_t LendableSlots(const ServiceLoad& load) const;
  void ExpireLoans();
  bool HasQueuedTasks() const;

  base::Clock& clock;
  fleet::PeerMessenger& messenger;
  DispatchBoard& board;
  base::Metrics& metrics;
  bool enabled;
  base::Timer expiry_timer;
  std::function<void()> slot_listener;
  std::map<LentKey, LentSlots> lent;
};

}  // namespace hawthornwheel::dispatch
