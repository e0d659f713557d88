#include "jobs/job_coordinator.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "catalog/catalog_controller.h"
#include "jobs/placer.h"
#include "support/keyed_store_client.h"
#include "support/manual_clock.h"
#include "support/plain_decoder.h"

namespace hawthornwheel::testing {
namespace {

using jobs::Candidate;
using jobs::JobAnswer;
using jobs::JobEnd;
using runs::RunOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Offers two endpoints with enough free capacity for every task. The test ends
// the runs itself.
class ScriptedPlacer final : public jobs::Placer {
 public:
  std::vector<Candidate> Candidates() const override {
    std::vector<Candidate> candidates(2);
    candidates[0].endpoint = "e";
    candidates[1].endpoint = "f";
    for (Candidate& candidate : candidates) {
      candidate.service = "s";
      candidate.free = {1'000'000, 1'000'000, 0};
    }
    return candidates;
  }
  bool Place(const Candidate&, const runs::TaskOrder& order,
             runs::RunHandlers handlers, jobs::PlacedRun* placed) override {
    *placed = {0, order.endpoint, order.task, order.run};
    this->placed.push_back(std::move(handlers));
    return true;
  }
  void Stop(const jobs::PlacedRun&) override { ++this->stops; }
  void SetTasksWaiting(bool) override {}

  std::vector<runs::RunHandlers> placed;
  int stops = 0;
};

class JobCoordinatorTest : public ::testing::Test {
 protected:
  std::uint64_t Submit() {
    jobs::JobRequest request;
    request.id = "0123456789abcdef";
    request.task_count = 1;
    request.resources = {1'000, 1, 0};
    request.estimate = milliseconds(100);
    catalog::Route route;
    route.service = "s";
    route.timeout = milliseconds(1'500);
    route.objective_slack = milliseconds(60);
    route.max_attempts = 4;
    const std::uint64_t caller = this->coordinator.Accept(
        request, route, 1,
        [this](const JobAnswer& answer) { this->answers.push_back(answer); });
    this->clock.Advance(milliseconds(1));
    return caller;
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
  std::vector<JobAnswer> answers;
};

// The end of a run may arrive long after its job was abandoned, while a copy of
// the job runs under the same id and run numbers. When that end was applied to
// the copy, tasks ran twice at the same time (soak seed 101).
TEST_F(JobCoordinatorTest, RunEndOfEarlierSubmissionDoesNotAffectNewOne) {
  const std::uint64_t caller = this->Submit();
  ASSERT_EQ(this->placer.placed.size(), 1U);
  this->coordinator.Abandon("0123456789abcdef", caller);
  this->Submit();
  ASSERT_EQ(this->placer.placed.size(), 2U);
  this->placer.placed[0].on_end(RunOutcome::kNotRun);
  this->clock.Advance(milliseconds(10));
  EXPECT_EQ(this->placer.placed.size(), 2U);
  this->placer.placed[1].on_end(RunOutcome::kDone);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kComplete);
}

TEST_F(JobCoordinatorTest, OverdueRunOfEarlierSubmissionIsIgnored) {
  const std::uint64_t caller = this->Submit();
  this->coordinator.Abandon("0123456789abcdef", caller);
  this->Submit();
  const int stops = this->placer.stops;
  this->placer.placed[0].on_overdue(seconds(9));
  EXPECT_EQ(this->placer.stops, stops);
}

}  // namespace
}  // namespace hawthornwheel::testing
