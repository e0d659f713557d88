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
#include "fleet/fleet_board.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::fleet {
class MembershipController;
class PeerMessenger;
}  // namespace hawthornwheel::fleet

namespace hawthornwheel::dispatch {

/// Borrows free slots of other processes under leases while tasks are queued
/// and no own slot is free, so that no message per task is needed. The home of
/// a job still starts all its tasks itself. Processes of other failure domains
/// are asked only when no process of the own domain lends, since each task then
/// pays the latency between the domains.
///
/// Owns these blackboard fields: the `borrowed` fields and `lender` of
/// EndpointState, and the borrowed endpoints in the pools.
class SlotBorrower {
 public:
  /// All references must outlive the borrower. It does nothing unless
  /// `enabled`.
  SlotBorrower(base::Clock& clock, fleet::PeerMessenger& messenger,
               const fleet::FleetBoard& fleet_board,
               const fleet::MembershipController& membership,
               DispatchBoard& board, base::Metrics& metrics, bool enabled);

  /// Starts the periodic renewal and return of borrowed slots.
  void Start();

  /// Requests slots for services that have had queued tasks and no free slot in
  /// this process for some time.
  void RequestSlots();

  /// Ends loans whose lender is no longer live, since its endpoints get new
  /// owners.
  void OnMembersChanged();

  /// Sets the function called after slots have been borrowed.
  void SetSlotsBorrowedListener(std::function<void()> listener);

 private:
  /// Tracks the slot requests for one service.
  struct Demand {
    bool request_in_flight = false;
    bool starved = false;
    base::TimePoint starved_since;
    base::TimePoint next_request;
  };

  /// Holds the backoff of a process that granted no slots: it gets no request
  /// until the delay has passed. The delay doubles with each such answer in a
  /// row.
  struct Backoff {
    base::Duration delay{0};
    base::TimePoint until;
  };

  void BackOffLender(const std::string& lender);
  void RequestSlotsFor(const std::string& service, ServiceLoad& load);
  std::vector<std::string> LendersByPreference() const;
  void SendRequest(const std::string& service, const std::string& lender,
                   std::uint32_t slots);
  void OnGrant(const std::string& service, const std::string& lender,
               base::TimePoint sent_at,
               const base::Result<wire::Envelope>& answer);
  bool TakeLoan(const std::string& service, const std::string& lender,
                const wire::SlotLoan& loan, base::TimePoint until);

  void MaintainLoans();
  void EndBorrowed();
  bool IsLenderLive(const EndpointState& endpoint) const;
  void ReturnSlots(EndpointState& endpoint, std::uint32_t slots);
  void RenewBorrowed();
  void OnRenewed(const std::string& lender, base::TimePoint sent_at,
                 const wire::SlotLoanGrant& grant);
  void RemoveFromPool(const EndpointState& endpoint);

  base::Clock& clock;
  fleet::PeerMessenger& messenger;
  const fleet::FleetBoard& fleet_board;
  const fleet::MembershipController& membership;
  DispatchBoard& board;
  base::Metrics& metrics;
  bool enabled;
  base::Timer maintenance_timer;
  base::Timer request_timer;
  std::function<void()> slots_borrowed_listener;
  std::map<std::string, Demand> demands;
  std::map<std::string, Backoff> backoffs;
  base::TimePoint next_renewal;
};

}  // namespace hawthornwheel::dispatch
