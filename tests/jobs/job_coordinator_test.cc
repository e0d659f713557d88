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

constexpr char kId[] = "0123456789abcdef";
constexpr base::Duration kRouteTimeout = milliseconds(1'500);

Candidate MakeCandidate(std::string_view endpoint, double pace,
                        std::int64_t cpu_milli) {
  Candidate candidate;
  candidate.endpoint = endpoint;
  candidate.service = "s";
  candidate.free = {cpu_milli, 1'000'000, 0};
  candidate.pace = pace;
  return candidate;
}

// Offers the endpoints that the test sets, at first two with enough free
// capacity for every task. The test ends the runs itself.
class ScriptedPlacer final : public jobs::Placer {
 public:
  std::vector<Candidate> Candidates() const override { return this->offered; }
  bool Place(const Candidate&, const runs::TaskOrder& order,
             runs::RunHandlers handlers, jobs::PlacedRun* placed) override {
    if (order.task == this->refused_task) return false;
    *placed = {0, order.endpoint, order.task, order.run};
    this->placed.push_back(std::move(handlers));
    this->endpoints.push_back(order.endpoint);
    this->runs.push_back(order.run);
    return true;
  }
  void Stop(const jobs::PlacedRun&, std::optional<base::TimePoint>) override {
    ++this->stops;
  }
  void SetTasksWaiting(bool) override {}

  std::vector<Candidate> offered = {MakeCandidate("e", 1, 1'000'000),
                                    MakeCandidate("f", 1, 1'000'000)};
  /// Handlers, endpoint and run number of each placement.
  std::vector<runs::RunHandlers> placed;
  std::vector<std::string> endpoints;
  std::vector<std::uint64_t> runs;
  /// Name of a task that no endpoint accepts.
  std::string refused_task;
  int stops = 0;
};

class JobCoordinatorTest : public ::testing::Test {
 protected:
  std::uint64_t Submit(const std::string& id = "0123456789abcdef",
                       base::Duration estimate = milliseconds(100),
                       int task_count = 1,
                       base::Duration caller_timeout = base::Duration{0}) {
    jobs::JobRequest request;
    request.id = id;
    request.task_count = task_count;
    request.caller_timeout = caller_timeout;
    request.resources = {1'000, 1, 0};
    request.estimate = estimate;
    catalog::Route route;
    route.service = "s";
    route.timeout = kRouteTimeout;
    route.objective_stretch = 1.6;
    route.objective_slack = milliseconds(60);
    route.max_attempts = 4;
    const std::uint64_t caller = this->coordinator.Accept(
        request, route, 1,
        [this](const JobAnswer& answer) { this->answers.push_back(answer); },
        nullptr);
    this->clock.Advance(milliseconds(1));
    return caller;
  }

  void Offer(std::vector<Candidate> candidates) {
    this->placer.offered = std::move(candidates);
    this->coordinator.SchedulePlacement();
    this->clock.Advance(milliseconds(1));
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

// A job was ended at the timeout of its route, though its caller had stated
// that it waits longer and the run would have ended in that time.
TEST_F(JobCoordinatorTest, JobGoesOnAfterRouteTimeoutWhileItsCallerWaits) {
  this->Submit(kId, milliseconds(700), 1, milliseconds(4'000));
  this->clock.Advance(kRouteTimeout);
  EXPECT_TRUE(this->answers.empty());
  EXPECT_EQ(this->placer.stops, 0);
  this->clock.Advance(milliseconds(1'000));
  this->placer.placed[0].on_end(RunOutcome::kDone);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kComplete);
}

// Guards against jobs that run on after their caller has left.
TEST_F(JobCoordinatorTest, JobEndsWhenItsCallerStopsWaiting) {
  for (const base::Duration wait : {milliseconds(800), milliseconds(2'000)}) {
    this->answers.clear();
    this->Submit(kId, milliseconds(500), 1, wait);
    this->clock.Advance(wait - milliseconds(2));
    EXPECT_TRUE(this->answers.empty());
    this->clock.Advance(milliseconds(2));
    ASSERT_EQ(this->answers.size(), 1U);
    EXPECT_EQ(this->answers[0].end, JobEnd::kTimedOut);
    this->placer.placed.back().on_end(RunOutcome::kStopped);
  }
}

// Guards against jobs without a time limit.
TEST_F(JobCoordinatorTest, JobEndsAtRouteTimeoutWhenItsCallerStatesNoWait) {
  this->Submit(kId, milliseconds(500));
  this->clock.Advance(kRouteTimeout - milliseconds(2));
  EXPECT_TRUE(this->answers.empty());
  this->clock.Advance(milliseconds(2));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kTimedOut);
}

// A stopping process began jobs that could not end before it stopped; their
// callers got an interruption seconds later instead of a rejection at once.
TEST_F(JobCoordinatorTest, JobThatCannotEndBeforeProcessStopsIsRejectedAtOnce) {
  this->coordinator.EndNewJobsBy(this->clock.Now() + milliseconds(1'000));
  this->Submit(kId, milliseconds(5'000), 1, milliseconds(20'000));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kRejected);
  EXPECT_GT(this->answers[0].retry_after, base::Duration{0});
  EXPECT_TRUE(this->placer.placed.empty());
  this->Submit("fedcba9876543210", milliseconds(200), 1, milliseconds(20'000));
  EXPECT_EQ(this->placer.placed.size(), 1U);
}

// The end of a run may arrive long after its job was abandoned, while a copy of
// the job waits under the same id. When that end was applied to the copy, or
// the copy did not wait for it, tasks ran twice at the same time (soak seed
// 101).
TEST_F(JobCoordinatorTest, CopyStartsWhenRunOfEarlierSubmissionHasEnded) {
  const std::uint64_t caller = this->Submit();
  ASSERT_EQ(this->placer.placed.size(), 1U);
  this->coordinator.Abandon("0123456789abcdef", caller);
  this->Submit();
  this->clock.Advance(milliseconds(10));
  EXPECT_EQ(this->placer.placed.size(), 1U);
  this->placer.placed[0].on_end(RunOutcome::kNotRun);
  this->clock.Advance(milliseconds(10));
  ASSERT_EQ(this->placer.placed.size(), 2U);
  EXPECT_TRUE(this->answers.empty());
  // The endpoint may refuse run numbers of the earlier submission.
  EXPECT_EQ(this->placer.runs, (std::vector<std::uint64_t>{1, 2}));
  this->placer.placed[1].on_end(RunOutcome::kDone);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kComplete);
}

// A copy waits for the runs of all earlier submissions, and other jobs do not.
TEST_F(JobCoordinatorTest, CopyWaitsForRunsOfAllEarlierSubmissions) {
  const std::uint64_t first = this->Submit();
  this->placer.placed[0].on_end(RunOutcome::kFailed);
  this->clock.Advance(milliseconds(1));
  ASSERT_EQ(this->placer.placed.size(), 2U);
  this->coordinator.Abandon("0123456789abcdef", first);
  const std::uint64_t second = this->Submit();
  this->coordinator.Abandon("0123456789abcdef", second);
  this->Submit();
  EXPECT_EQ(this->placer.placed.size(), 2U);
  this->Submit("00000000000000b2");
  ASSERT_EQ(this->placer.placed.size(), 3U);
  this->placer.placed[1].on_end(RunOutcome::kStopped);
  this->clock.Advance(milliseconds(1));
  ASSERT_EQ(this->placer.placed.size(), 4U);
  EXPECT_EQ(this->placer.runs, (std::vector<std::uint64_t>{1, 2, 1, 3}));
}

// A job whose task used up its attempts has no run left to wait for.
TEST_F(JobCoordinatorTest, FailedRunIsNotAwaited) {
  constexpr int kAttempts = 4;
  this->Submit();
  for (int i = 0; i < kAttempts; ++i) {
    this->placer.placed.back().on_end(RunOutcome::kFailed);
    this->clock.Advance(milliseconds(1));
  }
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kFailed);
  this->clock.Advance(seconds(12));
  this->Submit();
  EXPECT_EQ(this->placer.placed.size(), std::size_t{kAttempts} + 1);
}

TEST_F(JobCoordinatorTest, OverdueRunOfEarlierSubmissionIsIgnored) {
  const std::uint64_t caller = this->Submit();
  this->coordinator.Abandon("0123456789abcdef", caller);
  this->Submit();
  const int stops = this->placer.stops;
  this->placer.placed[0].on_overdue(seconds(9));
  EXPECT_EQ(this->placer.stops, stops);
}

// Reports about a run of an earlier submission were applied to the run of its
// copy, which has the same id and task (soak seed 101).
TEST_F(JobCoordinatorTest, ReportsOfEarlierSubmissionDoNotAffectPlacedCopy) {
  const std::uint64_t caller = this->Submit();
  this->coordinator.Abandon("0123456789abcdef", caller);
  this->Submit();
  this->placer.placed[0].on_end(RunOutcome::kStopped);
  this->clock.Advance(milliseconds(1));
  ASSERT_EQ(this->placer.placed.size(), 2U);
  const int stops = this->placer.stops;
  this->placer.placed[0].on_overdue(seconds(9));
  this->placer.placed[0].on_end(RunOutcome::kNotRun);
  this->clock.Advance(milliseconds(1));
  EXPECT_EQ(this->placer.stops, stops);
  EXPECT_EQ(this->placer.placed.size(), 2U);
  EXPECT_TRUE(this->answers.empty());
}

// A copy whose other tasks could start was rejected, since one run of the
// earlier submission had not ended in time.
TEST_F(JobCoordinatorTest, CopyStartsTasksThatHaveNoEndingRun) {
  const std::uint64_t caller =
      this->Submit("0123456789abcdef", milliseconds(100), 2);
  ASSERT_EQ(this->placer.placed.size(), 2U);
  this->placer.placed[0].on_end(RunOutcome::kDone);
  this->coordinator.Abandon("0123456789abcdef", caller);
  this->Submit("0123456789abcdef", milliseconds(100), 2);
  ASSERT_EQ(this->placer.placed.size(), 3U);
  this->clock.Advance(milliseconds(500));
  EXPECT_TRUE(this->answers.empty());
  this->placer.placed[1].on_end(RunOutcome::kStopped);
  this->clock.Advance(milliseconds(1));
  EXPECT_EQ(this->placer.placed.size(), 4U);
}

// A task that is refused everywhere, since a copy of it is open, took the
// endpoints from the other jobs of that moment.
TEST_F(JobCoordinatorTest, RefusedTaskLeavesEndpointsToOtherJobs) {
  this->Offer({});
  this->Submit("00000000000000a1");
  this->Submit("00000000000000a2");
  this->placer.refused_task = "00000000000000a1.0.0.0";
  this->Offer({MakeCandidate("e", 1, 2'000), MakeCandidate("f", 1, 2'000)});
  EXPECT_EQ(this->placer.placed.size(), 1U);
}

// A job whose run could not end in time at any endpoint kept its endpoints
// until the deadline, while other jobs had none.
TEST_F(JobCoordinatorTest, JobThatCannotMeetItsDeadlineEndsAtOnce) {
  this->Submit("0123456789abcdef", milliseconds(900));
  ASSERT_EQ(this->placer.placed.size(), 1U);
  this->clock.Advance(milliseconds(160));
  this->placer.placed[0].on_overdue(milliseconds(2'500));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kInterrupted);
  EXPECT_EQ(this->placer.stops, 1);
}

TEST_F(JobCoordinatorTest, JobContinuesWhenItsRunMayStillEndInTime) {
  this->Submit("0123456789abcdef", milliseconds(900));
  this->clock.Advance(milliseconds(160));
  this->placer.placed[0].on_overdue(milliseconds(1'550));
  EXPECT_TRUE(this->answers.empty());
  EXPECT_EQ(this->placer.stops, 0);
}

// A run that could not end in time kept its slow endpoint when no faster one
// was free at that moment, and its job ended at the deadline.
TEST_F(JobCoordinatorTest, RunThatCannotEndInTimeWaitsForFasterEndpoint) {
  this->Offer(
      {MakeCandidate("slow", 1.5, 2'000), MakeCandidate("fast", 0.6, 0)});
  this->Submit("0123456789abcdef", milliseconds(600));
  ASSERT_EQ(this->placer.endpoints, (std::vector<std::string>{"slow"}));
  this->clock.Advance(milliseconds(160));
  this->placer.placed[0].on_overdue(milliseconds(2'250));
  EXPECT_EQ(this->placer.stops, 1);
  EXPECT_TRUE(this->answers.empty());
  this->placer.placed[0].on_end(RunOutcome::kStopped);
  this->clock.Advance(milliseconds(1));
  ASSERT_EQ(this->placer.placed.size(), 1U);
  this->Offer(
      {MakeCandidate("slow", 1.5, 2'000), MakeCandidate("fast", 0.6, 1'000)});
  ASSERT_EQ(this->placer.placed.size(), 2U);
  EXPECT_EQ(this->placer.endpoints[1], "fast");
}

// A long task that waited for a fast endpoint blocked all later jobs, also
// where they could use endpoints that are too slow for it.
TEST_F(JobCoordinatorTest, ShortTaskUsesEndpointThatIsTooSlowForWaitingTask) {
  this->Offer({MakeCandidate("slow", 2, 2'000), MakeCandidate("fast", 0.6, 0)});
  this->Submit("00000000000000a1", milliseconds(1'000));
  EXPECT_TRUE(this->placer.placed.empty());
  this->Submit("00000000000000b2", milliseconds(100));
  EXPECT_EQ(this->placer.endpoints, (std::vector<std::string>{"slow"}));
}

TEST_F(JobCoordinatorTest, WaitingTaskKeepsFreeCapacityOfItsEndpoint) {
  this->Offer({MakeCandidate("fast", 0.6, 500)});
  this->Submit("00000000000000a1", milliseconds(1'000));
  this->Submit("00000000000000b2", milliseconds(100));
  EXPECT_TRUE(this->placer.placed.empty());
}

// Guards against a refused job one of whose starts is carried out later
// (REFUSED, issue 32): its endpoint has not answered the order.
TEST_F(JobCoordinatorTest, JobWithUnconfirmedStartIsNotRejected) {
  this->Submit();
  this->Offer({});
  this->placer.placed.at(0).on_end(RunOutcome::kUnconfirmed);
  this->clock.Advance(milliseconds(100));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kInterrupted);
}

TEST_F(JobCoordinatorTest, JobWhoseStartsWereRefusedIsRejected) {
  this->Submit();
  this->Offer({});
  this->placer.placed.at(0).on_end(RunOutcome::kNotRun);
  this->clock.Advance(milliseconds(100));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kRejected);
}

// A lost answer to one order costs that order: the task is placed again.
TEST_F(JobCoordinatorTest, TaskWithUnconfirmedStartIsPlacedAgain) {
  this->Submit();
  this->placer.placed.at(0).on_end(RunOutcome::kUnconfirmed);
  this->clock.Advance(milliseconds(1));
  ASSERT_EQ(this->placer.placed.size(), 2U);
  this->placer.placed[1].on_end(RunOutcome::kDone);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kComplete);
}

// Guards against a refusal of a job that an earlier submission has run
// (REFUSED, issue 32): its endpoint has ended a run with a higher number.
TEST_F(JobCoordinatorTest, JobThatEndpointHasRunBeforeIsNotRejected) {
  this->Submit();
  this->Offer({});
  this->placer.placed.at(0).on_end(RunOutcome::kStaleRun);
  this->clock.Advance(milliseconds(100));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kInterrupted);
}

// Guards against a refusal of a job whose earlier submission is being stopped
// (REFUSED, issue 32).
TEST_F(JobCoordinatorTest, CopyIsNotRejectedWhileRunsOfJobAreStopped) {
  const std::uint64_t caller = this->Submit();
  this->coordinator.Abandon("0123456789abcdef", caller);
  this->Offer({});
  this->Submit();
  this->clock.Advance(milliseconds(100));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kInterrupted);
}

TEST_F(JobCoordinatorTest, LeavingProcessDoesNotRejectCopyOfStoppedJob) {
  const std::uint64_t caller = this->Submit();
  this->coordinator.Abandon("0123456789abcdef", caller);
  this->coordinator.RejectNewJobs();
  this->Submit();
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].end, JobEnd::kInterrupted);
}

}  // namespace
}  // namespace hawthornwheel::testing
