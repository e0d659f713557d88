#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "catalog/resources.h"

namespace hawthornwheel::jobs {

/// How far a process that holds an endpoint is from this one.
enum class Distance { kLocal, kSameDomain, kOtherDomain };

/// An endpoint with room, held here or by another process. It refers to what
/// its holder knows of it, and holds until control returns to the loop.
struct Candidate {
  std::string_view endpoint;
  std::string_view service;
  /// Peer address of its holder; empty when it is held here.
  std::string_view holder;
  Distance distance = Distance::kLocal;
  catalog::Resources free;
  /// Cost that differs between processes, so that those that see the same free
  /// room do not all ask for the same endpoint.
  double jitter_cost = 0;
  /// Learned run time against the declared one.
  double pace = 1;
  const std::vector<std::string>* labels = nullptr;
};

}  // namespace hawthornwheel::jobs
