#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "fleet/config_fold.h"
#include "wire/peer.pb.h"
#include "wire/platform.pb.h"

namespace hawthornwheel::fleet {

/// What this process knows of another incarnation.
struct Member {
  wire::MemberAnnounce announce;
  /// Last time that it or a relay was heard to say that it lives.
  base::TimePoint last_heartbeat;
  /// Whether anything was heard of it, beside its announcement in the log.
  bool heartbeat_received = false;
  /// Whether it left in good order or its address was taken over.
  bool left = false;
  bool draining = false;
  std::uint64_t config_next_offset = 0;
  std::uint32_t free_slots = 0;
  std::uint32_t queued_tasks = 0;
  /// Slots that it still uses at endpoints it does not own, by address.
  std::map<std::string, std::uint32_t> held_slots;
};

/// Blackboard of what the process knows of the fleet. Each part has one
/// controller that writes it; all others read.
struct FleetBoard {
  /// This process. Written at start, by the composition.
  wire::MemberAnnounce self;

  /// Written by ConfigController.
  ConfigFold config;
  bool config_ready = false;
  bool log_reachable = false;

  /// Written by MembershipController: all other incarnations, by name.
  std::map<std::string, Member> members;

  /// Written by LeavingController: the platform's list, by IP.
  std::map<std::string, wire::Vm> vms;
  std::uint64_t vm_list_version = 0;

  /// Written by LeavingController: endpoints that get no new work, by address,
  /// and until when that is known without a further sign.
  std::map<std::string, base::TimePoint> leaving;
};

}  // namespace hawthornwheel::fleet
