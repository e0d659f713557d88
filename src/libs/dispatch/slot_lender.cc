#include "dispatch/slot_lender.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/metrics.h"
#include "fleet/peer_messenger.h"

namespace hawthornwheel::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kLease = milliseconds(5000);
constexpr base::Duration kExpiryInterval = milliseconds(50);
// One request gets at most 1 / kLendDivisor of the free slots, rounded up.
constexpr std::uint32_t kLendDivisor = 2;

}  // namespace

SlotLender::SlotLender(base::Clock& clock, fleet::PeerMessenger& messenger,
                       DispatchBoard& board, base::Metrics& metrics,
                       bool enabled)
    : clock(clock),
      messenger(messenger),
      board(board),
      metrics(metrics),
      enabled(enabled),
      expiry_timer(clock) {
  using wire::Envelope;
  this->messenger.SetHandler(Envelope::kLoanRequest,
                             [this](const Envelope& e) { this->Lend(e); });
  this->messenger.SetHandler(Envelope::kLoanRenewal,
                             [this](const Envelope& e) { this->Renew(e); });
  this->messenger.SetHandler(Envelope::kLoanReturn,
                             [this](const Envelope& e) { this->TakeBack(e); });
}

void SlotLender::Start() {
  this->expiry_timer.StartPeriodic(kExpiryInterval,
                                   [this] { this->ExpireLoans(); });
}

void SlotLender::SetSlotsReturnedListener(std::function<void()> listener) {
  this->slots_returned_listener = std::move(listener);
}

void SlotLender::Lend(const wire::Envelope& request) {
  wire::Envelope answer;
  wire::SlotLoanGrant* grant = answer.mutable_loan_grant();
  grant->set_lease_ms(static_cast<std::uint32_t>(kLease / milliseconds(1)));
  const auto found =
      this->board.services.find(request.loan_request().service());
  if (found != this->board.services.end() && this->enabled) {
    const std::uint32_t slots = std::min(request.loan_request().slots(),
                                         this->LendableSlots(found->second));
    this->LendFrom(found->second, request.sender(), slots, *grant);
  }
  this->messenger.Reply(request, std::move(answer));
}

void SlotLender::LendFrom(const ServiceLoad& load, const std::string& borrower,
                          std::uint32_t slots, wire::SlotLoanGrant& grant) {
  const base::TimePoint now = this->clock.Now();
  std::vector<EndpointState*> pool = load.pool;
  std::stable_sort(pool.begin(), pool.end(),
                   [](const EndpointState* a, const EndpointState* b) {
                     return a->slowness < b->slowness;
                   });
  std::uint32_t left = slots;
  for (EndpointState* endpoint : pool) {
    if (left == 0) return;
    if (!endpoint->owned) continue;
    const std::uint32_t granted = std::min(left, FreeSlots(*endpoint, now));
    if (granted == 0) continue;
    left -= granted;
    endpoint->lent += granted;
    LentSlots& lent = this->lent[{borrower, endpoint->address}];
    lent.slots += granted;
    lent.until = now + kLease;
    wire::SlotLoan* loan = grant.add_loans();
    loan->set_endpoint(endpoint->address);
    loan->set_slots(granted);
  }
}

std::uint32_t SlotLender::LendableSlots(const ServiceLoad& load) const {
  if (this->HasQueuedTasks() || this->board.draining) return 0;
  const base::TimePoint now = this->clock.Now();
  std::uint32_t free = 0;
  for (const EndpointState* endpoint : load.pool) {
    const bool healthy = endpoint->health == EndpointHealth::kHealthy;
    if (endpoint->owned && healthy) free += FreeSlots(*endpoint, now);
  }
  return (free + kLendDivisor - 1) / kLendDivisor;
}

void SlotLender::Renew(const wire::Envelope& request) {
  wire::Envelope answer;
  wire::SlotLoanGrant* grant = answer.mutable_loan_grant();
  grant->set_lease_ms(static_cast<std::uint32_t>(kLease / milliseconds(1)));
  const base::TimePoint now = this->clock.Now();
  for (const wire::SlotLoan& loan : request.loan_renewal().loans()) {
    const auto found = this->lent.find({request.sender(), loan.endpoint()});
    if (found == this->lent.end()) continue;
    found->second.until = now + kLease;
    wire::SlotLoan* renewed = grant->add_loans();
    renewed->set_endpoint(loan.endpoint());
    renewed->set_slots(found->second.slots);
  }
  this->messenger.Reply(request, std::move(answer));
}

void SlotLender::TakeBack(const wire::Envelope& message) {
  for (const wire::SlotLoan& loan : message.loan_return().loans()) {
    const auto found = this->lent.find({message.sender(), loan.endpoint()});
    if (found == this->lent.end()) continue;
    const std::uint32_t slots = std::min(loan.slots(), found->second.slots);
    const auto endpoint = this->board.endpoints.find(loan.endpoint());
    if (endpoint != this->board.endpoints.end()) {
      endpoint->second->lent -= std::min(slots, endpoint->second->lent);
    }
    found->second.slots -= slots;
    if (found->second.slots == 0) this->lent.erase(found);
  }
  if (this->slots_returned_listener) this->slots_returned_listener();
}

void SlotLender::ExpireLoans() {
  const base::TimePoint now = this->clock.Now();
  for (auto entry = this->lent.begin(); entry != this->lent.end();) {
    if (now < entry->second.until) {
      ++entry;
      continue;
    }
    const auto endpoint = this->board.endpoints.find(entry->first.second);
    if (endpoint != this->board.endpoints.end()) {
      endpoint->second->lent -=
          std::min(entry->second.slots, endpoint->second->lent);
    }
    this->metrics.Count("loans.lapsed");
    entry = this->lent.erase(entry);
  }
}

bool SlotLender::HasQueuedTasks() const {
  return std::any_of(
      this->board.services.begin(), this->board.services.end(),
      [](const auto& entry) { return entry.second.queued_tasks > 0; });
}

}  // namespace hawthornwheel::dispatch
