#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "fleet/config_fold.h"
#include "wire/peer.pb.h"
#include "wire/platform.pb.h"

namespace hawthornwheel::fleet {

/// Holds what this process knows about another process incarnation.
struct Member {
  wire::MemberAnnounce announce;
  /// Time of its latest heartbeat, received directly or reported by a relay.
  /// Before the first heartbeat, the time at which the member was added.
  base::TimePoint last_heartbeat;
  /// Whether a heartbeat was received directly or reported by a relay. False
  /// for a member known only from its announcement in the log.
  bool heartbeat_received = false;
  /// Whether it announced its leave, or another incarnation replaced it at its
  /// address.
  bool left = false;
  bool draining = false;
  std::uint64_t config_next_offset = 0;
  std::uint32_t free_slots = 0;
  std::uint32_t queued_tasks = 0;
  /// Number of slots that it still uses at endpoints that it does not own, by
  /// endpoint address.
  std::map<std::string, std::uint32_t> held_slots;
};

/// Blackboard (shared state) with what this process knows about the fleet. Each
/// field is written by one controller and read by the others.
struct FleetBoard {
  /// Announcement of this process. Written by the owner of the board before the
  /// controllers start.
  wire::MemberAnnounce self;

  /// Written by ConfigController.
  ConfigFold config;
  bool config_ready = false;
  bool log_reachable = false;

  /// Written by MembershipController: all other incarnations, by name. An entry
  /// for this process, created by its own announcement in the log, is marked as
  /// left.
  std::map<std::string, Member> members;

  /// Written by LeavingController: the platform's VM list, by IP address.
  std::map<std::string, wire::Vm> vms;
  std::uint64_t vm_list_version = 0;

  /// Written by LeavingController: expiry times of leaving notices, by endpoint
  /// or VM address. Matching endpoints get no new work. A repeated notice
  /// extends the expiry time.
  std::map<std::string, base::TimePoint> leaving;
};

}  // namespace hawthornwheel::fleet
