#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "catalog/resources.h"

namespace hawthornwheel::jobs {

/// Distance from this process to the one that holds an endpoint: the same
/// process, another one of its failure domain, or one of another domain.
enum class Distance { kLocal, kSameDomain, kOtherDomain };

/// Describes an endpoint that takes tasks, held by this process or another one.
/// Its views and pointers refer to the data of the board or session, and are
/// valid until control returns to the event loop.
struct Candidate {
  std::string_view endpoint;
  std::string_view service;
  /// Peer address of the process that holds the endpoint; empty for this
  /// process.
  std::string_view holder;
  Distance distance = Distance::kLocal;
  /// Free capacity; zero or less where there is none.
  catalog::Resources free;
  /// Cost that differs between processes, so that processes that see the same
  /// free capacity do not all request the same endpoint.
  double jitter_cost = 0;
  /// Value of the capacity of its kind, 0 to 1; see CapacityValue.
  double capacity_value = 1;
  /// Ratio of the learned run time to the declared one; above 1 is slower.
  double pace = 1;
  /// Time at which the next run there is expected to end; empty if unknown or
  /// when nothing runs there.
  std::optional<base::TimePoint> next_free;
  /// Whether a waiting task of this pass counts on the endpoint's next place.
  bool claimed = false;
  /// Labels of the endpoint; null for none.
  const std::vector<std::string>* labels = nullptr;
  /// Start of the incarnation that has these labels and this capacity, in Unix
  /// milliseconds; 0 if unknown.
  std::int64_t incarnation_start_ms = 0;
};

}  // namespace hawthornwheel::jobs
