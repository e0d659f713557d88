#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace hawthornwheel::dispatch {

/// Whether an endpoint is trusted with work.
enum class EndpointHealth {
  kHealthy,
  /// Gets no work until its quarantine has passed.
  kQuarantined,
  /// Gets one task at a time until enough have succeeded.
  kProbing,
};

/// Name of a health state in dumps.
constexpr std::string_view EndpointHealthName(EndpointHealth health) {
  constexpr std::array<std::string_view, 3> kNames = {"healthy", "quarantined",
                                                      "probing"};
  return kNames[static_cast<std::size_t>(health)];
}

/// What this process knows of one endpoint.
struct EndpointState {
  std::string address;
  std::string domain;
  /// Slots of the endpoint, from the service files.
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  /// Whether this process owns the endpoint's slots.
  bool owned = false;
  /// From when an endpoint that was taken over may be filled: until then those
  /// who still use it can say so.
  base::TimePoint owned_from;
  /// Until when the ownership may be relied on without a look at the members.
  base::TimePoint owned_until;
  /// Slots lent to other processes, of those owned.
  std::uint32_t lent = 0;
  /// Slots that former owners still use.
  std::uint32_t held_by_others = 0;
  /// Slots borrowed from the owner, until the lease ends.
  std::uint32_t borrowed = 0;
  base::TimePoint borrowed_until;
  /// Incarnation of the lender, and the service borrowed for.
  std::string lender;
  std::string borrowed_for;
  /// Last time that all borrowed slots were in use.
  base::TimePoint borrowed_fully_used_at;
  /// Attempts that may occupy a slot.
  std::uint32_t running = 0;
  /// Whether new work must not be sent.
  bool leaving = false;
  /// Ratio of run times here to the mean of the service; below 1 is fast.
  double slowness = 1;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;

  /// An endpoint that refused a task gets none until then; the pause doubles
  /// with each refusal in a row.
  base::TimePoint refused_until;
  std::uint32_t refusals_in_row = 0;

  EndpointHealth health = EndpointHealth::kHealthy;
  /// Recent share of attempts that failed, from 0 to 1.
  double failure_share = 0;
  std::uint32_t failures_in_row = 0;
  std::uint32_t probe_successes = 0;
  std::uint32_t quarantines = 0;
  base::TimePoint quarantined_until;
};

}  // namespace hawthornwheel::dispatch
