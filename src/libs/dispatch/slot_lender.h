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

/// Lends free slots of owned endpoints to other processes under leases. Lends
/// nothing while a task is queued in this process or while the process drains.
///
/// Owns this blackboard field: `lent` of EndpointState.
class SlotLender {
 public:
  /// All references must outlive the lender. It lends nothing unless `enabled`.
  SlotLender(base::Clock& clock, fleet::PeerMessenger& messenger,
             DispatchBoard& board, base::Metrics& metrics, bool enabled);

  /// Starts the periodic expiry of loans that were not renewed.
  void Start();

  /// Sets the function called after slots have been returned.
  void SetSlotsReturnedListener(std::function<void()> listener);

 private:
  /// Holds the slots lent to one process at one endpoint and the end of their
  /// lease.
  struct LentSlots {
    std::uint32_t slots = 0;
    base::TimePoint until;
  };
  /// Incarnation of the borrower and address of the endpoint.
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
  std::function<void()> slots_returned_listener;
  std::map<LentKey, LentSlots> lent;
};

}  // namespace hawthornwheel::dispatch
