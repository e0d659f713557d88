#include "dispatch/endpoint_controller.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>

#include "fleet/leaving_controller.h"
#include "fleet/membership_controller.h"

namespace hawthornwheel::dispatch {
namespace {

// Time for which the ownership of an endpoint is valid without a renewal. It is
// longer than an iteration of the event loop should take, and shorter than the
// time after which other processes take over.
constexpr base::Duration kOwnershipValidity = std::chrono::seconds(1);
// Delay before an endpoint that was taken over gets work, in which former
// owners and borrowers report the slots that they still use.
constexpr base::Duration kTakeoverDelay = std::chrono::milliseconds(300);
// Number of values of a 64-bit hash.
constexpr double kHashRange = 18446744073709551616.0;

// Returns the score of weighted rendezvous hashing. The process with the
// highest score owns the endpoint.
double OwnerScore(const std::string& incarnation, const std::string& address,
                  double weight) {
  const XXH64_hash_t seed = XXH64(incarnation.data(), incarnation.size(), 0);
  const XXH64_hash_t hash = XXH64(address.data(), address.size(), seed);
  const double uniform = (static_cast<double>(hash) + 1) / (kHashRange + 2);
  return -weight / std::log(uniform);
}

}  // namespace

EndpointController::EndpointController(
    base::Clock& clock, const fleet::FleetBoard& fleet_board,
    const fleet::MembershipController& membership,
    const fleet::LeavingController& leaving, DispatchBoard& board)
    : clock(clock),
      fleet_board(fleet_board),
      membership(membership),
      leaving(leaving),
      board(board),
      owned_until(clock.Now() + kOwnershipValidity) {}

void EndpointController::Rebuild() {
  this->candidates = this->Candidates();
  EndpointConfigs endpoint_configs;
  std::map<std::string, std::vector<fleet::EndpointSpec>> specs;
  for (const auto& [name, state] : this->fleet_board.config.Services()) {
    if (!state.config) continue;
    specs[name] = this->EndpointsOf(*state.config);
    for (const fleet::EndpointSpec& spec : specs[name]) {
      this->AddEndpointConfig(*state.config, spec, endpoint_configs);
    }
    this->board.queue.SetWeights({state.config->organisation, name},
                                 state.config->organisation_weight,
                                 state.config->weight);
  }
  this->owned_before.clear();
  for (auto& [address, endpoint] : this->board.endpoints) {
    if (endpoint->owned) this->owned_before.insert(address);
    endpoint->owned = false;
    endpoint->leaving = this->leaving.IsLeaving(address);
  }
  this->AssignOwners(endpoint_configs);
  this->FillPools(specs);
  this->UpdateHeldSlots();
  this->DropUnused();
}

void EndpointController::FillPools(
    const std::map<std::string, std::vector<fleet::EndpointSpec>>& specs) {
  for (auto& [name, load] : this->board.services) {
    load.pool.clear();
    load.configured_endpoints = 0;
  }
  for (const auto& [name, endpoints] : specs) {
    ServiceLoad& load = this->board.services[name];
    load.max_running_tasks =
        this->fleet_board.config.Find(name)->max_running_tasks;
    load.configured_endpoints = static_cast<std::uint32_t>(endpoints.size());
    for (const fleet::EndpointSpec& spec : endpoints) {
      const auto found = this->board.endpoints.find(spec.address);
      if (found == this->board.endpoints.end()) continue;
      EndpointState& endpoint = *found->second;
      const bool borrowed =
          endpoint.borrowed > 0 && endpoint.borrowed_for == name;
      if (endpoint.owned || borrowed) load.pool.push_back(&endpoint);
    }
  }
}

bool EndpointController::RenewOwnership() {
  const base::TimePoint now = this->clock.Now();
  const bool expired = now >= this->owned_until;
  this->owned_until = now + kOwnershipValidity;
  if (expired) return false;
  for (auto& [address, endpoint] : this->board.endpoints) {
    endpoint->owned_until = this->owned_until;
  }
  return true;
}

void EndpointController::UpdateHeldSlots() {
  for (auto& [address, endpoint] : this->board.endpoints) {
    endpoint->held_by_others = 0;
  }
  for (const auto& [incarnation, member] : this->fleet_board.members) {
    if (!this->membership.IsLive(member)) continue;
    for (const auto& [address, slots] : member.held_slots) {
      const auto found = this->board.endpoints.find(address);
      if (found == this->board.endpoints.end()) continue;
      found->second->held_by_others += slots;
    }
  }
}

void EndpointController::FillHeartbeat(wire::Heartbeat& heartbeat) const {
  const base::TimePoint now = this->clock.Now();
  std::uint32_t free = 0;
  for (const auto& [address, endpoint] : this->board.endpoints) {
    if (endpoint->owned) free += FreeSlots(*endpoint, now);
    if (endpoint->owned) continue;
    const std::uint32_t own_use =
        endpoint->borrowed == 0 ? endpoint->running : 0;
    const std::uint32_t held_count = own_use + endpoint->lent;
    if (held_count == 0) continue;
    wire::HeldSlots* slots = heartbeat.add_held();
    slots->set_endpoint(address);
    slots->set_slots(held_count);
  }
  std::uint32_t queued = 0;
  for (const auto& [name, load] : this->board.services) {
    queued += load.queued_tasks;
  }
  heartbeat.set_free_slots(free);
  heartbeat.set_queued_tasks(queued);
}

void EndpointController::DropUnused() {
  std::erase_if(this->board.endpoints, [](const auto& entry) {
    const EndpointState& endpoint = *entry.second;
    return !endpoint.owned && endpoint.running == 0 && endpoint.lent == 0 &&
           endpoint.borrowed == 0;
  });
}

std::vector<fleet::EndpointSpec> EndpointController::EndpointsOf(
    const fleet::ServiceConfig& config) const {
  std::vector<fleet::EndpointSpec> specs = config.endpoints;
  if (config.selector_group.empty()) return specs;
  for (const auto& [ip, vm] : this->fleet_board.vms) {
    if (vm.group() != config.selector_group) continue;
    specs.push_back(
        {fmt::format("{}:{}", ip, config.selector_port), vm.domain()});
  }
  return specs;
}

void EndpointController::AddEndpointConfig(
    const fleet::ServiceConfig& config, const fleet::EndpointSpec& spec,
    EndpointConfigs& endpoint_configs) const {
  if (spec.domain != this->fleet_board.self.domain()) return;
  const auto [position, inserted] = endpoint_configs.try_emplace(spec.address);
  EndpointConfig& endpoint_config = position->second;
  if (inserted) {
    endpoint_config = {XXH64(spec.address.data(), spec.address.size(), 0),
                       spec.address, config.slots, config.connections};
    return;
  }
  // Services that share an endpoint share its slots; the lowest value applies.
  endpoint_config.slots = std::min(endpoint_config.slots, config.slots);
  endpoint_config.connections =
      std::min(endpoint_config.connections, config.connections);
}

void EndpointController::AssignOwners(const EndpointConfigs& endpoint_configs) {
  std::vector<const EndpointConfig*> ordered;
  double slots = 0;
  for (const auto& [address, endpoint_config] : endpoint_configs) {
    ordered.push_back(&endpoint_config);
    slots += endpoint_config.slots;
  }
  // Every process of the domain must assign the endpoints in the same order, so
  // that all compute the same owners.
  std::sort(ordered.begin(), ordered.end(),
            [](const EndpointConfig* a, const EndpointConfig* b) {
              return a->hash != b->hash ? a->hash < b->hash
                                        : a->address < b->address;
            });
  double weights = 0;
  for (const Candidate& candidate : this->candidates)
    weights += candidate.weight;
  for (Candidate& candidate : this->candidates) {
    candidate.slot_limit = slots * candidate.weight / weights;
  }
  for (const EndpointConfig* endpoint_config : ordered) {
    Candidate* owner = this->FindOwner(endpoint_config->address);
    if (owner == nullptr) continue;
    owner->assigned_slots += endpoint_config->slots;
    const bool own = owner->incarnation == this->fleet_board.self.incarnation();
    if (own) this->TakeOwnership(*endpoint_config);
  }
}

void EndpointController::TakeOwnership(const EndpointConfig& endpoint_config) {
  std::unique_ptr<EndpointState>& state =
      this->board.endpoints[endpoint_config.address];
  if (!state) {
    state = std::make_unique<EndpointState>();
    state->address = endpoint_config.address;
    state->leaving = this->leaving.IsLeaving(endpoint_config.address);
  }
  // A process that has just joined received the reports of slots in use during
  // the join delay, so it needs no takeover delay.
  const bool joining = this->membership.JoinedFor() < kTakeoverDelay;
  if (!joining && !this->owned_before.contains(endpoint_config.address)) {
    state->owned_from = this->clock.Now() + kTakeoverDelay;
  }
  state->domain = this->fleet_board.self.domain();
  state->slots = endpoint_config.slots;
  state->connections = endpoint_config.connections;
  state->owned = true;
  state->owned_until = this->owned_until;
}

EndpointController::Candidate* EndpointController::FindOwner(
    const std::string& address) {
  Candidate* owner = nullptr;
  double best = 0;
  for (Candidate& candidate : this->candidates) {
    if (candidate.assigned_slots >= candidate.slot_limit) continue;
    const double score =
        OwnerScore(candidate.incarnation, address, candidate.weight);
    if (owner != nullptr && score <= best) continue;
    owner = &candidate;
    best = score;
  }
  return owner;
}

std::vector<EndpointController::Candidate> EndpointController::Candidates()
    const {
  std::vector<Candidate> candidates;
  const wire::MemberAnnounce& self = this->fleet_board.self;
  for (const std::string& incarnation :
       this->membership.LiveIn(self.domain())) {
    const auto found = this->fleet_board.members.find(incarnation);
    const wire::MemberAnnounce& announce =
        found == this->fleet_board.members.end() ? self
                                                 : found->second.announce;
    candidates.push_back(
        {incarnation, std::max(1.0, double(announce.weight()))});
  }
  return candidates;
}

}  // namespace hawthornwheel::dispatch
