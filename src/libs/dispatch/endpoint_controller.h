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
/// domain has one owner among these members. Weighted rendezvous hashing with
/// bounded loads assigns the owners, so that reserving slots needs no message
/// per task.
///
/// Owns these blackboard fields: `endpoints` (the set, slots, ownership,
/// leaving) and the pools of `services`. Only endpoints that this process owns,
/// borrows, lends or still uses have a state, so that the cost does not grow
/// with the size of the domain.
class EndpointController {
 public:
  /// All references must outlive the controller.
  EndpointController(base::Clock& clock, const fleet::FleetBoard& fleet_board,
                     const fleet::MembershipController& membership,
                     const fleet::LeavingController& leaving,
                     DispatchBoard& board);

  /// Recomputes the owners, the endpoints and the pools. Must be called after
  /// the configuration, the VM list, the leaving notices or the live members
  /// have changed.
  void Rebuild();

  /// Extends the validity of the ownership of all owned endpoints. Returns
  /// false and extends none when it has already expired, for example after a
  /// pause of the process, since other processes may own the endpoints by then.
  bool RenewOwnership();

  /// Updates the slots that former owners still use, as the members report
  /// them.
  void UpdateHeldSlots();

  /// Adds the free slots of owned endpoints, the number of queued tasks, and
  /// the slots that this process still uses or lends at endpoints of other
  /// owners. Omits the use of borrowed endpoints, whose owner counts the slots
  /// as lent.
  void FillHeartbeat(wire::Heartbeat& heartbeat) const;

  /// Removes endpoints that this process does not own, use, lend or borrow.
  void DropUnused();

 private:
  /// Holds a live process that may own endpoints.
  struct Candidate {
    std::string incarnation;
    double weight = 1;
    /// Slots that it may own, and slots assigned to it so far.
    double slot_limit = 0;
    double assigned_slots = 0;
  };

  /// Holds an endpoint of the own failure domain as the service files configure
  /// it.
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
  /// Addresses of the endpoints owned before the current rebuild.
  std::set<std::string> owned_before;
};

}  // namespace hawthornwheel::dispatch
