#include "dispatch/slot_borrower.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/metrics.h"
#include "fleet/membership_controller.h"
#include "fleet/peer_messenger.h"

namespace hawthornwheel::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kRenewInterval = milliseconds(2000);
constexpr base::Duration kMaintenanceInterval = milliseconds(50);
constexpr base::Duration kRequestTimeout = milliseconds(200);
constexpr base::Duration kRequestInterval = milliseconds(20);
// Time for which a service must have queued tasks and no free slot before slots
// are requested. A queue that own slots clear earlier does not justify a
// message.
constexpr base::Duration kMinStarvedTime = milliseconds(15);
constexpr base::Duration kMinBackoff = milliseconds(100);
constexpr base::Duration kMaxBackoff = milliseconds(1600);
constexpr base::Duration kIdleBeforeReturn = milliseconds(600);
constexpr std::uint32_t kMinRequestedSlots = 4;
constexpr std::uint32_t kMaxRequestedSlots = 64;

bool HasFreeSlot(const ServiceLoad& load, base::TimePoint now) {
  return std::any_of(load.pool.begin(), load.pool.end(),
                     [now](const EndpointState* endpoint) {
                       return FreeSlots(*endpoint, now) > 0;
                     });
}

bool HasMoreFreeSlots(const std::pair<std::uint32_t, std::string>& a,
                      const std::pair<std::uint32_t, std::string>& b) {
  return a.first != b.first ? a.first > b.first : a.second < b.second;
}

}  // namespace

SlotBorrower::SlotBorrower(base::Clock& clock, fleet::PeerMessenger& messenger,
                           const fleet::FleetBoard& fleet_board,
                           const fleet::MembershipController& membership,
                           DispatchBoard& board, base::Metrics& metrics,
                           bool enabled)
    : clock(clock),
      messenger(messenger),
      fleet_board(fleet_board),
      membership(membership),
      board(board),
      metrics(metrics),
      enabled(enabled),
      maintenance_timer(clock),
      request_timer(clock) {}

void SlotBorrower::Start() {
  this->maintenance_timer.StartPeriodic(kMaintenanceInterval,
                                        [this] { this->MaintainLoans(); });
}

void SlotBorrower::SetSlotsBorrowedListener(std::function<void()> listener) {
  this->slots_borrowed_listener = std::move(listener);
}

void SlotBorrower::RequestSlots() {
  if (!this->enabled || this->board.draining) return;
  const base::TimePoint now = this->clock.Now();
  for (auto& [service, load] : this->board.services) {
    Demand& demand = this->demands[service];
    // Tasks that stay queued while a slot is free wait for a faster endpoint or
    // for the limit of running tasks, and need no borrowed slots.
    if (load.queued_tasks == 0 || HasFreeSlot(load, now)) {
      demand.starved = false;
      continue;
    }
    if (!demand.starved) {
      demand.starved = true;
      demand.starved_since = now;
    }
    const base::Duration starved = now - demand.starved_since;
    if (starved >= kMinStarvedTime) {
      this->RequestSlotsFor(service, load);
    } else if (!this->request_timer.IsActive()) {
      this->request_timer.StartOnce(kMinStarvedTime - starved,
                                    [this] { this->RequestSlots(); });
    }
  }
}

void SlotBorrower::RequestSlotsFor(const std::string& service,
                                   ServiceLoad& load) {
  Demand& demand = this->demands[service];
  const base::TimePoint now = this->clock.Now();
  if (demand.request_in_flight || now < demand.next_request) return;
  const std::vector<std::string> lenders = this->LendersByPreference();
  demand.next_request = now + kRequestInterval;
  if (lenders.empty()) return;
  demand.request_in_flight = true;
  this->SendRequest(
      service, lenders.front(),
      std::clamp(load.queued_tasks, kMinRequestedSlots, kMaxRequestedSlots));
}

std::vector<std::string> SlotBorrower::LendersByPreference() const {
  std::vector<std::pair<std::uint32_t, std::string>> local;
  std::vector<std::pair<std::uint32_t, std::string>> remote;
  for (const auto& [incarnation, member] : this->fleet_board.members) {
    if (member.draining || !this->membership.IsLive(member)) continue;
    const auto backoff = this->backoffs.find(incarnation);
    const bool backing_off = backoff != this->backoffs.end() &&
                             this->clock.Now() < backoff->second.until;
    if (backing_off) continue;
    const bool is_local =
        member.announce.domain() == this->fleet_board.self.domain();
    (is_local ? local : remote).emplace_back(member.free_slots, incarnation);
  }
  std::sort(local.begin(), local.end(), HasMoreFreeSlots);
  std::sort(remote.begin(), remote.end(), HasMoreFreeSlots);
  std::vector<std::string> lenders;
  lenders.reserve(local.size() + remote.size());
  for (const auto& [free, incarnation] : local) lenders.push_back(incarnation);
  for (const auto& [free, incarnation] : remote) {
    if (free > 0) lenders.push_back(incarnation);
  }
  return lenders;
}

void SlotBorrower::SendRequest(const std::string& service,
                               const std::string& lender, std::uint32_t slots) {
  wire::Envelope envelope;
  envelope.mutable_loan_request()->set_service(service);
  envelope.mutable_loan_request()->set_slots(slots);
  this->metrics.Count("loans.requests");
  const base::TimePoint sent_at = this->clock.Now();
  this->messenger.Request(
      this->fleet_board.members.at(lender).announce.peer_address(),
      std::move(envelope), kRequestTimeout,
      [this, service, lender,
       sent_at](const base::Result<wire::Envelope>& answer) {
        this->OnGrant(service, lender, sent_at, answer);
      });
}

void SlotBorrower::OnGrant(const std::string& service,
                           const std::string& lender, base::TimePoint sent_at,
                           const base::Result<wire::Envelope>& answer) {
  this->demands[service].request_in_flight = false;
  const bool granted = answer && answer->has_loan_grant() &&
                       answer->loan_grant().loans_size() > 0;
  if (!granted) {
    this->BackOffLender(lender);
    return;
  }
  this->backoffs.erase(lender);
  const wire::SlotLoanGrant& grant = answer->loan_grant();
  // Counts from the time of the request, so that the lease expires here before
  // it expires at the lender.
  const base::TimePoint until = sent_at + milliseconds(grant.lease_ms());
  wire::Envelope refused;
  for (const wire::SlotLoan& loan : grant.loans()) {
    if (this->TakeLoan(service, lender, loan, until)) continue;
    *refused.mutable_loan_return()->add_loans() = loan;
  }
  if (refused.has_loan_return()) {
    this->messenger.Notify(answer->sender_address(), std::move(refused));
  }
  this->metrics.Count("loans.taken");
  if (this->slots_borrowed_listener) this->slots_borrowed_listener();
}

void SlotBorrower::BackOffLender(const std::string& lender) {
  Backoff& backoff = this->backoffs[lender];
  backoff.delay = std::clamp(2 * backoff.delay, kMinBackoff, kMaxBackoff);
  backoff.until = this->clock.Now() + backoff.delay;
}

bool SlotBorrower::TakeLoan(const std::string& service,
                            const std::string& lender,
                            const wire::SlotLoan& loan, base::TimePoint until) {
  std::unique_ptr<EndpointState>& state =
      this->board.endpoints[loan.endpoint()];
  if (!state) {
    state = std::make_unique<EndpointState>();
    state->address = loan.endpoint();
    state->domain = this->fleet_board.members.contains(lender)
                        ? this->fleet_board.members.at(lender).announce.domain()
                        : "";
  }
  EndpointState& endpoint = *state;
  if (endpoint.owned) return false;
  const bool other_loan =
      endpoint.borrowed > 0 &&
      (endpoint.lender != lender || endpoint.borrowed_for != service);
  if (other_loan) return false;
  if (endpoint.borrowed == 0) {
    endpoint.lender = lender;
    endpoint.borrowed_for = service;
    this->board.services[service].pool.push_back(&endpoint);
  }
  endpoint.borrowed += loan.slots();
  endpoint.borrowed_until = until;
  endpoint.borrowed_fully_used_at = this->clock.Now();
  return true;
}

void SlotBorrower::OnMembersChanged() { this->EndBorrowed(); }

bool SlotBorrower::IsLenderLive(const EndpointState& endpoint) const {
  const auto found = this->fleet_board.members.find(endpoint.lender);
  return found != this->fleet_board.members.end() && !found->second.draining &&
         this->membership.IsLive(found->second);
}

void SlotBorrower::MaintainLoans() {
  this->EndBorrowed();
  if (this->clock.Now() >= this->next_renewal) {
    this->next_renewal = this->clock.Now() + kRenewInterval;
    this->RenewBorrowed();
  }
  this->RequestSlots();
}

void SlotBorrower::EndBorrowed() {
  const base::TimePoint now = this->clock.Now();
  for (auto& [address, endpoint] : this->board.endpoints) {
    if (endpoint->borrowed == 0) continue;
    const bool ended = now >= endpoint->borrowed_until || endpoint->owned ||
                       !this->IsLenderLive(*endpoint);
    if (ended) {
      endpoint->borrowed = 0;
      this->RemoveFromPool(*endpoint);
      continue;
    }
    if (endpoint->running >= endpoint->borrowed) {
      endpoint->borrowed_fully_used_at = now;
      continue;
    }
    if (now - endpoint->borrowed_fully_used_at < kIdleBeforeReturn) continue;
    this->ReturnSlots(*endpoint, endpoint->borrowed - endpoint->running);
  }
}

void SlotBorrower::ReturnSlots(EndpointState& endpoint, std::uint32_t slots) {
  endpoint.borrowed -= slots;
  endpoint.borrowed_fully_used_at = this->clock.Now();
  if (endpoint.borrowed == 0) this->RemoveFromPool(endpoint);
  const auto lender = this->fleet_board.members.find(endpoint.lender);
  if (lender == this->fleet_board.members.end()) return;
  wire::Envelope envelope;
  wire::SlotLoan* loan = envelope.mutable_loan_return()->add_loans();
  loan->set_endpoint(endpoint.address);
  loan->set_slots(slots);
  this->metrics.Count("loans.returns");
  this->messenger.Notify(lender->second.announce.peer_address(),
                         std::move(envelope));
}

void SlotBorrower::RenewBorrowed() {
  std::map<std::string, wire::Envelope> renewals;
  for (const auto& [address, endpoint] : this->board.endpoints) {
    if (endpoint->borrowed == 0) continue;
    wire::SlotLoan* loan =
        renewals[endpoint->lender].mutable_loan_renewal()->add_loans();
    loan->set_endpoint(address);
    loan->set_slots(endpoint->borrowed);
  }
  const base::TimePoint sent_at = this->clock.Now();
  for (auto& [lender, envelope] : renewals) {
    const auto member = this->fleet_board.members.find(lender);
    if (member == this->fleet_board.members.end()) continue;
    this->metrics.Count("loans.renewals");
    this->messenger.Request(
        member->second.announce.peer_address(), std::move(envelope),
        kRenewInterval,
        [this, lender = lender,
         sent_at](const base::Result<wire::Envelope>& answer) {
          if (!answer || !answer->has_loan_grant()) return;
          this->OnRenewed(lender, sent_at, answer->loan_grant());
        });
  }
}

void SlotBorrower::OnRenewed(const std::string& lender, base::TimePoint sent_at,
                             const wire::SlotLoanGrant& grant) {
  for (const wire::SlotLoan& loan : grant.loans()) {
    const auto found = this->board.endpoints.find(loan.endpoint());
    if (found == this->board.endpoints.end()) continue;
    EndpointState& endpoint = *found->second;
    if (endpoint.borrowed == 0 || endpoint.lender != lender) continue;
    endpoint.borrowed = std::min(endpoint.borrowed, loan.slots());
    endpoint.borrowed_until = std::max(
        endpoint.borrowed_until, sent_at + milliseconds(grant.lease_ms()));
  }
}

void SlotBorrower::RemoveFromPool(const EndpointState& endpoint) {
  if (endpoint.owned) return;
  const auto load = this->board.services.find(endpoint.borrowed_for);
  if (load == this->board.services.end()) return;
  std::erase(load->second.pool, &endpoint);
}

}  // namespace hawthornwheel::dispatch
