#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/candidate.h"

namespace hawthornwheel::jobs {

/// Determines the kinds of endpoints. The kind of an endpoint is the one of its
/// labels that most candidates of its service carry, ties by name. Refers to
/// the labels of the candidates, so it is valid as long as they are.
class EndpointKinds {
 public:
  explicit EndpointKinds(const std::vector<Candidate>& candidates);

  /// Returns the kind of an endpoint, or an empty string when it has no label.
  std::string_view KindOf(const Candidate& candidate) const;

 private:
  /// Number of candidates by service and label.
  std::map<std::string_view, std::unordered_map<std::string_view, int>> counts;
};

}  // namespace hawthornwheel::jobs
