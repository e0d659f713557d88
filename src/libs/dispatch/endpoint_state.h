#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace hawthornwheel::dispatch {

/// Describes whether an endpoint may get work.
enum class EndpointHealth {
  kHealthy,
  /// Gets no work until its quarantine ends.
  kQuarantined,
  /// Gets one task at a time until enough tasks have succeeded.
  kProbing,
};

/// Returns the name of a health state in state dumps.
constexpr std::string_view EndpointHealthName(EndpointHealth health) {
  constexpr std::array<std::string_view, 3> kNames = {"healthy", "quarantined",
                                                      "probing"};
  return kNames[static_cast<std::size_t>(health)];
}

/// Holds what this process knows about one endpoint.
struct EndpointState {
  std::string address;
  std::string domain;
  /// Slots of the endpoint, from the service files.
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  /// Whether this process owns the endpoint's slots.
  bool owned = false;
  /// Time from which an endpoint that was taken over may get work. Until then,
  /// processes that still use it can report their slots.
  base::TimePoint owned_from;
  /// Time until which the ownership is valid without another check of the
  /// members.
  base::TimePoint owned_until;
  /// Owned slots that are lent to other processes.
  std::uint32_t lent = 0;
  /// Slots that former owners still use.
  std::uint32_t held_by_others = 0;
  /// Slots borrowed from the owner, and the end of their lease.
  std::uint32_t borrowed = 0;
  base::TimePoint borrowed_until;
  /// Incarnation of the lender, and the service that the slots are borrowed
  /// for.
  std::string lender;
  std::string borrowed_for;
  /// Last time at which all borrowed slots were in use, or at which slots were
  /// borrowed or returned.
  base::TimePoint borrowed_fully_used_at;
  /// Number of attempts of this process that may occupy a slot.
  std::uint32_t running = 0;
  /// Whether the endpoint must not get new work.
  bool leaving = false;
  /// Ratio of the run times at this endpoint to the mean of the service; a
  /// value below 1 means faster than the mean.
  double slowness = 1;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;

  /// Time until which an endpoint that refused a task gets no other one. The
  /// backoff doubles with each refusal in a row.
  base::TimePoint refused_until;
  std::uint32_t refusals_in_row = 0;

  EndpointHealth health = EndpointHealth::kHealthy;
  /// Recent share of failed attempts, from 0 to 1.
  double failure_share = 0;
  std::uint32_t failures_in_row = 0;
  std::uint32_t probe_successes = 0;
  std::uint32_t quarantines = 0;
  base::TimePoint quarantined_until;
};

}  // namespace hawthornwheel::dispatch
