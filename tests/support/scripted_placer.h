#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "jobs/placer.h"

namespace hawthornwheel::testing {

/// Offers the endpoints that a test sets, and records the placements. The test
/// ends the runs itself.
class ScriptedPlacer final : public jobs::Placer {
 public:
  std::vector<jobs::Candidate> Candidates() const override {
    return this->offered;
  }
  bool Place(const jobs::Candidate&, const runs::TaskOrder& order,
             runs::RunHandlers handlers, jobs::PlacedRun* placed) override {
    *placed = {0, order.endpoint, order.task, order.run};
    this->placed.push_back(std::move(handlers));
    this->endpoints.push_back(order.endpoint);
    for (jobs::Candidate& candidate : this->offered) {
      if (candidate.endpoint == order.endpoint)
        candidate.free -= order.resources;
    }
    return true;
  }
  void Stop(const jobs::PlacedRun&, std::optional<base::TimePoint>) override {}
  void SetTasksWaiting(bool) override {}

  /// Returns the number of placements at the endpoint.
  std::int64_t PlacementsAt(const std::string& endpoint) const {
    return std::count(this->endpoints.begin(), this->endpoints.end(), endpoint);
  }

  std::vector<jobs::Candidate> offered;
  /// Handlers and endpoint of each placement.
  std::vector<runs::RunHandlers> placed;
  std::vector<std::string> endpoints;
};

}  // namespace hawthornwheel::testing
