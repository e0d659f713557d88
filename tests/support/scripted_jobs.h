#pragma once

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "catalog/catalog_controller.h"
#include "jobs/job_coordinator.h"
#include "support/keyed_store_client.h"
#include "support/manual_clock.h"
#include "support/plain_decoder.h"
#include "support/scripted_placer.h"

namespace hawthornwheel::testing {

/// Runs a JobCoordinator on a ManualClock with the endpoints of a
/// ScriptedPlacer.
class ScriptedJobs {
 public:
  /// Returns an endpoint of the service of the jobs. `labels` must outlive it.
  static jobs::Candidate Endpoint(
      std::string_view id, double pace, std::int64_t cpu_milli,
      const std::vector<std::string>* labels = nullptr) {
    jobs::Candidate candidate;
    candidate.endpoint = id;
    candidate.service = "s";
    candidate.free = {cpu_milli, 1'000'000, 0};
    candidate.pace = pace;
    candidate.labels = labels;
    return candidate;
  }

  /// Returns a full endpoint whose next run is expected to end in `left`.
  jobs::Candidate Busy(std::string_view id, double pace, base::Duration left,
                       const std::vector<std::string>* labels = nullptr) const {
    jobs::Candidate candidate = Endpoint(id, pace, 0, labels);
    candidate.next_free = this->clock.Now() + left;
    return candidate;
  }

  /// Submits a job with the load's objective and time limit: 1.6 run times and
  /// 60 ms, and 1.5 s. The priority 0 is the most urgent.
  void Submit(base::Duration estimate, int tasks = 1,
              std::int64_t cpu_milli = 1'000, const std::string& near = "",
              int priority = 0) {
    jobs::JobRequest request;
    request.id = fmt::format("{:016x}", ++this->job_count);
    request.task_count = tasks;
    request.resources = {cpu_milli, 1, 0};
    request.estimate = estimate;
    request.near_label = near;
    catalog::Route route;
    route.service = "s";
    route.priority = priority;
    route.timeout = std::chrono::milliseconds(1'500);
    route.objective_stretch = 1.6;
    route.objective_slack = std::chrono::milliseconds(60);
    route.max_attempts = 4;
    this->coordinator.Accept(
        request, route, 1,
        [this](const jobs::JobAnswer& answer) {
          this->answers.push_back(answer);
        },
        nullptr);
    this->clock.Advance(std::chrono::milliseconds(1));
  }

  /// Changes the endpoints, as a heartbeat does.
  void Offer(std::vector<jobs::Candidate> candidates) {
    this->placer.offered = std::move(candidates);
    this->coordinator.SchedulePlacement();
    this->clock.Advance(std::chrono::milliseconds(1));
  }

  ManualClock clock;
  base::Metrics metrics;
  KeyedStore store{this->clock};
  ProcessClock process_clock{this->clock};
  KeyedStoreClient store_client{this->store, "p", this->process_clock};
  PlainDecoder decoder;
  catalog::CatalogController catalog{this->store_client, this->decoder,
                                     this->clock};
  ScriptedPlacer placer;
  jobs::JobSettings settings;
  jobs::JobCoordinator coordinator{this->clock, this->metrics, this->catalog,
                                   this->placer, this->settings};
  std::vector<jobs::JobAnswer> answers;
  int job_count = 0;
};

}  // namespace hawthornwheel::testing
