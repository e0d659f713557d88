#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "dispatch/dispatch_board.h"
#include "fleet/fleet_board.h"

namespace hawthornwheel::fleet {
class LeavingController;
class MembershipController;
}  // namespace hawthornwheel::fleet

namespace hawthornwheel::dispatch {

/// Derives the endpoints that this process may use from the configuration, the
/// list of VMs and the live members of the failure domain. Each endpoint of the
/// domain has one owner among them, by weighted rendezvous hashing with bounded
/// loads, so that no message per task is needed to keep its slots.
///
/// Owns on the blackboard: `endpoints` (the set, slots, ownership, leaving) and
/// the pools of `services`. Only endpoints that this process owns, borrows or
/// still uses have a state, so that its cost does not grow with the domain.
class EndpointController {
 public:
  /// All references must outlive the controller.
  EndpointController(base::Clock& clock, const fleet::FleetBoard& fleet_board,
                     const fleet::MembershipController& membership,
                     const fleet::LeavingController& leaving,
                     DispatchBoard& board);

  /// Derives everything anew; called after any of the sources has changed.
  void Rebuild();

  /// Renews the reliance on what is owned. When it has lapsed, as after a
  /// pause, others may own it by now: then nothing is renewed and false is
  /// returned.
  bool RenewOwnership();

  /// Reads the slots that former owners still use from the members.
  void UpdateHeldSlots();

  /// Adds the slots that this process still uses at endpoints of others.
  void FillHeartbeat(wire::Heartbeat& heartbeat) const;

  /// Drops endpoints that nothing uses any more.
  void DropUnused();

 private:
  /// Live process that may own endpoints.
  struct Candidate {
    std::string incarnation;
    double weight = 1;
    /// Slots it may own, and those given to it so far.
    double slot_limit = 0;
    double assigned_slots = 0;
  };

  /// Endpoint of the own domain as the service files give it.
  struct EndpointConfig {
    std::uint64_t hash = 0;
    std::string address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
  };
  using EndpointConfigs = std::map<std::string, EndpointConfig>;

  std::vector<fleet::EndpointSpec> EndpointsOf(
      const fleet::ServiceConfig& config) const;
  void AddEndpointConfig(const fleet::ServiceConfig& config,
                         const fleet::EndpointSpec& spec,
                         EndpointConfigs& endpoint_configs) const;
  void FillPools(
      const std::map<std::string, std::vector<fleet::EndpointSpec>>& specs);
  void AssignOwners(const EndpointConfigs& endpoint_configs);
  void TakeOwnership(const EndpointConfig& endpoint_config);
  Candidate* FindOwner(const std::string& address);
  std::vector<Candidate> Candidates() const;

  base::Clock& clock;
  const fleet::FleetBoard& fleet_board;
  const fleet::MembershipController& membership;
  const fleet::LeavingController& leaving;
  DispatchBoard& board;
  std::vector<Candidate> candidates;
  base::TimePoint owned_until;
  /// Endpoints owned before the rebuild that is under way.
  std::set<std::string> owned_before;
};

}  // namespace hawthornwheel::dispatch
