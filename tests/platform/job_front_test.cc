// Checks the HTTP interface for callers and for the load balancer.

#include "platform/job_front.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <optional>

#include "base/glib_clock.h"
#include "base/metrics.h"
#include "catalog/catalog_controller.h"
#include "http/async_http_client.h"
#include "jobs/job_coordinator.h"
#include "platform/json_record_decoder.h"
#include "support/http_call.h"
#include "support/keyed_store_client.h"
#include "support/loop.h"

namespace hawthornwheel::testing {
namespace {

constexpr char kPath[] = "/p/00000000000000aa";
constexpr char kJob[] =
    R"({"jobSpec":"x","bestEffort":true,"steps":[{"count":2,"cpu":500,"estMs":50}]})";
constexpr char kConfiguration[] =
    R"({"version":1,"routes":[{"name":"r","host":"127.0.0.1","prefix":"/p/",
    "service":"s","timeoutMs":1500,"sloMs":60,"stretch":1.6,"attempts":2}]})";

// Accepts every task and ends it after 1 ms with `outcome`, unless
// `tasks_hang` is set.
class InstantPlacer final : public jobs::Placer {
 public:
  std::vector<jobs::Candidate> Candidates() const override {
    jobs::Candidate candidate;
    candidate.endpoint = "e";
    candidate.service = "s";
    candidate.free = {this->has_capacity ? 100'000 : 0, 100'000, 0};
    return {candidate};
  }
  bool Place(const jobs::Candidate&, const runs::TaskOrder&,
             runs::RunHandlers handlers, jobs::PlacedRun*) override {
    if (this->tasks_hang) return true;
    this->clock.StartTimer(
        base::Duration{1'000},
        [handlers, outcome = this->outcome] { handlers.on_end(outcome); });
    return true;
  }
  void Stop(const jobs::PlacedRun&, std::optional<base::TimePoint>) override {
    ++this->stops;
  }
  void SetTasksWaiting(bool) override {}

  base::GlibClock clock;
  bool has_capacity = true;
  /// Whether tasks never end.
  bool tasks_hang = false;
  int stops = 0;
  runs::RunOutcome outcome = runs::RunOutcome::kDone;
};

class JobFrontTest : public ::testing::Test {
 protected:
  JobFrontTest()
      : process_clock(this->clock),
        store(this->shared_store, "client", this->process_clock),
        catalog(this->store, this->decoder, this->clock),
        jobs(this->clock, this->metrics, this->catalog, this->placer,
             this->settings),
        front(this->jobs, this->metrics,
              {[this] { return this->ready; }, [] { return false; }}) {
    // The kernel chooses the ports, because tests run in parallel.
    const auto ports = this->front.Listen("127.0.0.1:0", "127.0.0.1:0");
    EXPECT_TRUE(ports.HasValue());
    this->callers = fmt::format("127.0.0.1:{}", ports->callers);
    this->balancer = fmt::format("127.0.0.1:{}", ports->balancer);
  }

  http::HttpReply Send(const std::string& method, const std::string& target,
                       const std::string& body = "") {
    return Call(method, this->callers, target, body);
  }

  base::GlibClock clock;
  ProcessClock process_clock;
  KeyedStore shared_store{this->clock};
  KeyedStoreClient store;
  platform::JsonRecordDecoder decoder;
  base::Metrics metrics;
  catalog::CatalogController catalog;
  InstantPlacer placer;
  jobs::JobSettings settings;
  jobs::JobCoordinator jobs;
  bool ready = true;
  platform::JobFront front;
  std::string callers;
  std::string balancer;
};

TEST_F(JobFrontTest, JobsAreRefusedWithoutConfiguration) {
  const auto reply = this->Send("POST", kPath, kJob);
  EXPECT_EQ(reply.status, 503);
  EXPECT_EQ(this->Send("GET", "/p/").status, 503);
}

TEST_F(JobFrontTest, CompletedJobIsAnsweredWithItsState) {
  this->catalog.ApplyConfiguration(kConfiguration, "test");
  const auto reply = this->Send("POST", kPath, kJob);
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, R"({"state":"complete"})");
}

TEST_F(JobFrontTest, FailedJobIsAnsweredWithStatusOk) {
  this->catalog.ApplyConfiguration(kConfiguration, "test");
  this->placer.outcome = runs::RunOutcome::kFailed;
  const auto reply = this->Send("POST", kPath, kJob);
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, R"({"state":"failed"})");
}

TEST_F(JobFrontTest, RejectedJobHasRetryAfterHeader) {
  this->catalog.ApplyConfiguration(kConfiguration, "test");
  this->placer.has_capacity = false;
  http::AsyncHttpClient client(this->clock, 1);
  http::HttpCall call;
  call.method = "POST";
  call.address = this->callers;
  call.target = kPath;
  call.body = kJob;
  call.timeout = base::Duration{2'000'000};
  std::optional<base::Result<http::HttpReply>> reply;
  client.Send(call, [&](base::Result<http::HttpReply> r) { reply = r; });
  ASSERT_TRUE(RunLoopUntil([&] { return reply.has_value(); }));
  ASSERT_TRUE(reply->HasValue());
  EXPECT_EQ((*reply)->status, 503);
  const auto retry = (*reply)->headers.find("retry-after");
  ASSERT_NE(retry, (*reply)->headers.end());
  EXPECT_GE(std::stoi(retry->second), 1);
}

TEST_F(JobFrontTest, UnknownRouteReturns404AndUnknownJob410) {
  this->catalog.ApplyConfiguration(kConfiguration, "test");
  EXPECT_EQ(this->Send("POST", "/q/00000000000000aa", kJob).status, 404);
  EXPECT_EQ(this->Send("GET", "/q/").status, 404);
  EXPECT_EQ(this->Send("GET", "/p/").body, R"({"pending":0})");
  EXPECT_EQ(this->Send("GET", kPath).status, 410);
  EXPECT_EQ(this->Send("DELETE", kPath).status, 410);
}

TEST_F(JobFrontTest, ReadinessCheckReturnsStateOfProcess) {
  EXPECT_EQ(Call("GET", this->balancer, "/ready").status, 200);
  this->ready = false;
  EXPECT_EQ(Call("GET", this->balancer, "/ready").status, 503);
}

TEST_F(JobFrontTest, JobIsStoppedWhenItsCallerDisconnects) {
  this->catalog.ApplyConfiguration(kConfiguration, "test");
  this->placer.tasks_hang = true;
  {
    http::AsyncHttpClient client(this->clock, 1);
    http::HttpCall call;
    call.method = "POST";
    call.address = this->callers;
    call.target = kPath;
    call.body = kJob;
    call.timeout = base::Duration{500'000};
    bool done = false;
    client.Send(call, [&](base::Result<http::HttpReply>) { done = true; });
    ASSERT_TRUE(RunLoopUntil([&] { return this->jobs.OpenJobs() == 1; }));
    ASSERT_TRUE(RunLoopUntil([&] { return done; }));
  }
  EXPECT_TRUE(RunLoopUntil([&] { return this->jobs.OpenJobs() == 0; }));
  EXPECT_EQ(this->placer.stops, 2);
}

struct BadJob {
  const char* name;
  const char* path;
  const char* body;
  int status;
};

class BadJobTest : public JobFrontTest,
                   public ::testing::WithParamInterface<BadJob> {};

TEST_P(BadJobTest, IsRefusedWithoutOpeningAJob) {
  this->catalog.ApplyConfiguration(kConfiguration, "test");
  const auto reply = this->Send("POST", GetParam().path, GetParam().body);
  EXPECT_EQ(reply.status, GetParam().status);
  EXPECT_EQ(this->jobs.OpenJobs(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table, BadJobTest,
    ::testing::Values(
        BadJob{"InvalidJson", kPath, "{", 400},
        BadJob{"NotAnObject", kPath, "[]", 400},
        BadJob{"NoSteps", kPath, R"({"bestEffort":true})", 400},
        BadJob{"StepIsNotAnObject", kPath, R"({"bestEffort":true,"steps":[7]})",
               400},
        BadJob{"NoTasks", kPath, R"({"bestEffort":true,"steps":[{"count":0}]})",
               400},
        BadJob{"NegativeCpu", kPath,
               R"({"bestEffort":true,"steps":[{"count":1,"cpu":-500}]})", 400},
        BadJob{"MemoryOutOfRange", kPath,
               R"({"bestEffort":true,"steps":[{"count":1,"memMb":1e300}]})",
               400},
        BadJob{"ShortId", "/p/00aa", kJob, 400},
        BadJob{"NotBestEffort", kPath, R"({"steps":[{"count":1}]})", 503},
        BadJob{"TwoSteps", kPath,
               R"({"bestEffort":true,"steps":[{"count":1},{"count":1}]})", 503},
        BadJob{"LimitPerEndpoint", kPath,
               R"({"bestEffort":true,"steps":[{"count":2,"antiAffinity":1}]})",
               503},
        BadJob{"Gang", kPath,
               R"({"bestEffort":true,"steps":[{"count":2,"gang":true}]})",
               503}),
    [](const auto& row) { return row.param.name; });

}  // namespace
}  // namespace hawthornwheel::testing
