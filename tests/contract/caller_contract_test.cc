// Tests the contract of the HTTP interface for callers. Refusals and failures
// are listed in tables.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

#include "base/glib_clock.h"
#include "base/logger.h"
#include "node/node.h"
#include "standins/endpoint_server.h"
#include "standins/platform_server.h"
#include "support/http_call.h"
#include "support/loop.h"
#include "wire/caller.pb.h"
#include "wire/json.h"

namespace hawthornwheel::testing {
namespace {

// Runs a whole process and its stand-ins on one event loop.
class CallerContractTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::SetLogLevel(base::LogLevel::kError);
    const std::string platform =
        LocalAddress(*this->platform.Listen("127.0.0.1:0"));
    this->endpoint = LocalAddress(*this->endpoints.Listen("127.0.0.1:0"));
    this->Publish(1, "booking", this->endpoint, "");
    // All endpoints of this service are in another failure domain.
    this->Publish(2, "nowhere", "127.0.0.1:9", "");
    const std::string text = fmt::format(
        "[process]\nname = n\ndomain = north\nlog_level = error\n"
        "[fleet]\ncluster = c\npoll_interval = 50ms\n"
        "[platform]\naddress = {}\n[peers]\naddress = 127.0.0.1:0\n"
        "[callers]\naddress = 127.0.0.1:0\nmax_body_bytes = 20000\n"
        "[admin]\naddress = 127.0.0.1:0\n",
        platform);
    const auto reading = node::ReadNodeSettings("node.ini", text);
    ASSERT_TRUE(reading.faults.empty());
    this->node = std::make_unique<node::Node>(reading.settings,
                                              [this] { this->stopped = true; });
    ASSERT_TRUE(this->node->Start());
    this->address = this->node->CallerAddress();
    ASSERT_TRUE(RunLoopUntil(
        [this] { return Call("GET", this->address, "/ready").status == 200; }));
  }

  static std::string LocalAddress(std::uint16_t port) {
    return fmt::format("127.0.0.1:{}", port);
  }

  void Publish(int number, const std::string& name, const std::string& endpoint,
               const std::string& extra_lines) {
    wire::LogRecord record;
    record.set_id(fmt::format("r{}", number));
    wire::ServiceChange* change = record.mutable_change()->add_changes();
    change->set_service(name);
    change->set_content(fmt::format(
        "[service]\nname = {}\nteam = laundry\n[endpoints]\n"
        "addresses = {}@{}\nslots = 2\n[urgency]\nclasses = urgent, normal\n"
        "[limits]\nmax_payload_bytes = 1000\nmax_queued_tasks = 20\n{}",
        name, endpoint, name == "nowhere" ? "south" : "north", extra_lines));
    this->platform.Log().Append(record.SerializeAsString(),
                                this->clock.WallMilliseconds());
  }

  static wire::JobAnswer Parse(const http::HttpReply& reply) {
    wire::JobAnswer answer;
    EXPECT_TRUE(wire::FromJson(reply.body, answer)) << reply.body;
    return answer;
  }

  std::string NewKey(const std::string& part) const {
    wire::PrefixAnswer answer;
    const http::HttpReply reply = Call("GET", this->address, "/v1/prefix");
    EXPECT_TRUE(wire::FromJson(reply.body, answer));
    return answer.prefix() + part;
  }

  static std::string JobJson(const std::string& key, const std::string& payload,
                             int tasks = 1, int timeout_ms = 5000) {
    wire::SubmitRequest request;
    request.set_key(key);
    request.set_team("laundry");
    request.set_service("booking");
    request.set_timeout_ms(static_cast<std::uint32_t>(timeout_ms));
    for (int i = 0; i < tasks; ++i) request.add_tasks()->set_payload(payload);
    return wire::ToJson(request);
  }

  base::GlibClock clock;
  standins::PlatformServer platform{this->clock};
  standins::EndpointCounts counts;
  standins::EndpointServer endpoints{this->clock, this->counts, 1};
  std::string endpoint;
  std::unique_ptr<node::Node> node;
  std::string address;
  bool stopped = false;
};

TEST_F(CallerContractTest, JobAnswerHoldsResultsOfAllTasks) {
  const auto reply =
      Call("POST", this->address, "/v1/jobs", JobJson("", "run=1;say=free", 7));
  EXPECT_EQ(reply.status, 200);
  const wire::JobAnswer answer = Parse(reply);
  EXPECT_EQ(answer.state(), wire::COMPLETE);
  ASSERT_EQ(answer.results_size(), 7);
  for (const auto& result : answer.results()) {
    EXPECT_EQ(result.payload(), "free");
  }
  EXPECT_TRUE(answer.key_assigned());
  EXPECT_FALSE(answer.next_prefix().empty());
  EXPECT_EQ(this->counts.starts.size(), 7U);
  EXPECT_LE(this->counts.max_running, 2U);
}

// Guards against a message that repeated a whole body with its NUL bytes.
TEST_F(CallerContractTest, MessageQuotesShortPrintablePartOfUnreadableBody) {
  std::string body = R"({"team":")";
  for (int i = 0; i < 2'000; ++i) body += std::string("\0\xff", 2);
  const auto reply = Call("POST", this->address, "/v1/jobs", body);
  EXPECT_EQ(reply.status, 400);
  EXPECT_LT(reply.body.size(), 500U);
  for (const char c : reply.body) EXPECT_TRUE(c >= ' ' && c <= '~');
  const auto long_key =
      Call("GET", this->address, "/v1/jobs/" + std::string(5'000, 'k'));
  EXPECT_EQ(Parse(long_key).failure().kind(), "key_malformed");
  EXPECT_LT(long_key.body.size(), 500U);
}

struct RefusalCase {
  const char* name;
  const char* method;
  const char* target;
  std::string body;
  int status;
  const char* kind;
  const char* field;
  wire::Execution execution;
};

std::string TasksJson(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) text += i == 0 ? "{}" : ",{}";
  return text;
}

std::string JobBody(const std::string& changes) {
  return R"({"team":"laundry","service":"booking","timeout_ms":1000,)" +
         changes + "}";
}

class CallerRefusalTest : public CallerContractTest,
                          public ::testing::WithParamInterface<RefusalCase> {};

TEST_P(CallerRefusalTest, ReportsKindAndFieldAndStartsNoTask) {
  const RefusalCase& row = GetParam();
  const auto reply = Call(row.method, this->address, row.target, row.body);
  EXPECT_EQ(reply.status, row.status);
  const wire::JobAnswer answer = Parse(reply);
  EXPECT_EQ(answer.state(), wire::FAILED);
  EXPECT_EQ(answer.failure().kind(), row.kind);
  EXPECT_EQ(answer.failure().field(), row.field);
  EXPECT_EQ(answer.failure().execution(), row.execution);
  EXPECT_TRUE(this->counts.starts.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Refusals, CallerRefusalTest,
    ::testing::Values(
        RefusalCase{"NotJson", "POST", "/v1/jobs", "{", 400, "invalid_request",
                    "body", wire::NOT_RUN},
        RefusalCase{"UnknownField", "POST", "/v1/jobs", R"({"teem":"x"})", 400,
                    "invalid_request", "body", wire::NOT_RUN},
        RefusalCase{"WrongType", "POST", "/v1/jobs", R"({"team":[1]})", 400,
                    "invalid_request", "body", wire::NOT_RUN},
        RefusalCase{"NoOrganisation", "POST", "/v1/jobs",
                    R"({"service":"booking"})", 400, "invalid_request", "team",
                    wire::NOT_RUN},
        RefusalCase{"NoService", "POST", "/v1/jobs", R"({"team":"laundry"})",
                    400, "invalid_request", "service", wire::NOT_RUN},
        RefusalCase{"NoTimeout", "POST", "/v1/jobs",
                    R"({"team":"laundry","service":"booking","tasks":[{}]})",
                    400, "invalid_request", "timeout_ms", wire::NOT_RUN},
        RefusalCase{"LongTimeout", "POST", "/v1/jobs",
                    R"({"team":"laundry","service":"booking","tasks":[{}],)"
                    R"("timeout_ms":700000})",
                    400, "invalid_request", "timeout_ms", wire::NOT_RUN},
        RefusalCase{"NoTasks", "POST", "/v1/jobs", JobBody(R"("tasks":[])"),
                    400, "invalid_request", "tasks", wire::NOT_RUN},
        RefusalCase{"TooManyTasks", "POST", "/v1/jobs",
                    JobBody(R"("tasks":[)" + TasksJson(151) + "]"), 413,
                    "too_large", "tasks", wire::NOT_RUN},
        RefusalCase{"LargePayload", "POST", "/v1/jobs",
                    JobBody(R"("tasks":[{},{"payload":")" +
                            std::string(1600, 'A') + R"("}])"),
                    413, "too_large", "tasks[1].payload", wire::NOT_RUN},
        RefusalCase{"LargeBody", "POST", "/v1/jobs", std::string(20001, ' '),
                    413, "too_large", "body", wire::NOT_RUN},
        RefusalCase{"UnknownOrganisation", "POST", "/v1/jobs",
                    R"({"team":"t","service":"booking","tasks":[{}],)"
                    R"("timeout_ms":1000})",
                    404, "unknown_team", "team", wire::NOT_RUN},
        RefusalCase{"UnknownService", "POST", "/v1/jobs",
                    R"({"team":"laundry","service":"s","tasks":[{}],)"
                    R"("timeout_ms":1000})",
                    404, "unknown_service", "service", wire::NOT_RUN},
        RefusalCase{"UrgencyClassNotAllowed", "POST", "/v1/jobs",
                    JobBody(R"("urgency":"BULK","tasks":[{}])"), 400,
                    "invalid_request", "urgency", wire::NOT_RUN},
        RefusalCase{"UnknownUrgencyClass", "POST", "/v1/jobs",
                    JobBody(R"("urgency":"SOON","tasks":[{}])"), 400,
                    "invalid_request", "body", wire::NOT_RUN},
        RefusalCase{"MalformedKey", "POST", "/v1/jobs",
                    JobBody(R"("key":"abc","tasks":[{}])"), 400,
                    "key_malformed", "key", wire::NOT_RUN},
        RefusalCase{"KeyWithUnknownHome", "POST", "/v1/jobs",
                    JobBody(R"("key":"x-1/1/a","tasks":[{}])"), 503,
                    "home_unreachable", "key", wire::MAY_HAVE_RUN},
        RefusalCase{"TooManyTasksForQueue", "POST", "/v1/jobs",
                    JobBody(R"("tasks":[)" + TasksJson(21) + "]"), 429,
                    "queue_full", "", wire::NOT_RUN},
        RefusalCase{"BadWait", "POST", "/v1/jobs?wait_ms=soon",
                    JobBody(R"("tasks":[{}])"), 400, "invalid_request",
                    "wait_ms", wire::NOT_RUN},
        RefusalCase{"QueryOfMalformedKey", "GET", "/v1/jobs/abc", "", 400,
                    "key_malformed", "key", wire::NOT_RUN},
        RefusalCase{"WrongMethod", "PATCH", "/v1/jobs/a/1/b", "", 404,
                    "not_found", "method", wire::EXECUTION_UNSPECIFIED},
        RefusalCase{"WrongPath", "GET", "/v2/jobs", "", 404, "not_found",
                    "path", wire::EXECUTION_UNSPECIFIED}),
    [](const auto& info) { return info.param.name; });

TEST_F(CallerContractTest, JobOfServiceWithoutEndpointsIsImpossible) {
  this->Publish(3, "empty", "127.0.0.1:9", "");
  wire::LogRecord record;
  record.set_id("selector");
  wire::ServiceChange* change = record.mutable_change()->add_changes();
  change->set_service("selected");
  change->set_content(
      "[service]\nname = selected\nteam = laundry\n[endpoints]\n"
      "selector = no-such-group\nselector_port = 80\n");
  this->platform.Log().Append(record.SerializeAsString(),
                              this->clock.WallMilliseconds());
  wire::JobAnswer answer;
  RunLoopUntil([&] {
    answer = Parse(Call("POST", this->address, "/v1/jobs",
                        R"({"team":"laundry","service":"selected",)"
                        R"("timeout_ms":1000,"tasks":[{}]})"));
    return answer.failure().kind() != "unknown_service";
  });
  EXPECT_EQ(answer.failure().kind(), "impossible_job");
  EXPECT_EQ(answer.failure().execution(), wire::NOT_RUN);
}

TEST_F(CallerContractTest, RepeatedSubmissionRunsOnce) {
  const std::string body = JobJson(this->NewKey("a"), "run=1;say=once", 2);
  for (int i = 0; i < 3; ++i) {
    const auto reply = Call("POST", this->address, "/v1/jobs", body);
    EXPECT_EQ(Parse(reply).results_size(), 2);
  }
  EXPECT_EQ(this->counts.starts.size(), 2U);
  EXPECT_EQ(this->counts.Duplicates(), 0U);
}

TEST_F(CallerContractTest, KeyWithDifferentTasksConflicts) {
  const std::string key = this->NewKey("a");
  Call("POST", this->address, "/v1/jobs", JobJson(key, "run=1;say=one"));
  const auto reply =
      Call("POST", this->address, "/v1/jobs", JobJson(key, "run=1;say=two"));
  EXPECT_EQ(reply.status, 409);
  EXPECT_EQ(Parse(reply).failure().kind(), "key_conflict");
  EXPECT_EQ(this->counts.starts.size(), 1U);
}

TEST_F(CallerContractTest, ExpiredWaitReturnsPendingAnswer) {
  const std::string key = this->NewKey("a");
  const auto reply = Call("POST", this->address, "/v1/jobs?wait_ms=20",
                          JobJson(key, "run=300;say=late"));
  EXPECT_EQ(reply.status, 202);
  EXPECT_EQ(Parse(reply).state(), wire::PENDING);
  const auto later = Call("GET", this->address, "/v1/jobs/" + key);
  EXPECT_EQ(later.status, 200);
  EXPECT_EQ(Parse(later).results(0).payload(), "late");
}

TEST_F(CallerContractTest, CancelledJobIsStoppedAtEndpoint) {
  const std::string key = this->NewKey("a");
  Call("POST", this->address, "/v1/jobs?wait_ms=50", JobJson(key, "run=20000"));
  const auto reply = Call("DELETE", this->address, "/v1/jobs/" + key);
  EXPECT_EQ(reply.status, 409);
  EXPECT_EQ(Parse(reply).failure().kind(), "cancelled");
  EXPECT_EQ(Parse(reply).failure().execution(), wire::MAY_HAVE_RUN);
  EXPECT_TRUE(RunLoopUntil([&] { return this->counts.stopped == 1; }));
}

TEST_F(CallerContractTest, CancelBeforeSubmissionPreventsRun) {
  const std::string key = this->NewKey("a");
  const auto cancelled = Call("DELETE", this->address, "/v1/jobs/" + key);
  EXPECT_EQ(Parse(cancelled).failure().execution(), wire::NOT_RUN);
  const auto submitted =
      Call("POST", this->address, "/v1/jobs", JobJson(key, "run=1"));
  EXPECT_EQ(Parse(submitted).failure().kind(), "cancelled");
  EXPECT_TRUE(this->counts.starts.empty());
}

TEST_F(CallerContractTest, QueryBeforeSubmissionReportsMayHaveRun) {
  const std::string key = this->NewKey("a");
  const auto reply = Call("GET", this->address, "/v1/jobs/" + key);
  EXPECT_EQ(reply.status, 404);
  EXPECT_EQ(Parse(reply).failure().execution(), wire::MAY_HAVE_RUN);
  EXPECT_EQ(
      Call("POST", this->address, "/v1/jobs", JobJson(key, "run=1")).status,
      200);
}

struct EndCase {
  const char* name;
  const char* payload;
  int tasks;
  int timeout_ms;
  int status;
  const char* kind;
  wire::Execution execution;
};

class CallerEndTest : public CallerContractTest,
                      public ::testing::WithParamInterface<EndCase> {};

TEST_P(CallerEndTest, JobAnswerHoldsOneFailureAndNoResults) {
  const EndCase& row = GetParam();
  const auto reply = Call("POST", this->address, "/v1/jobs",
                          JobJson("", row.payload, row.tasks, row.timeout_ms));
  EXPECT_EQ(reply.status, row.status);
  const wire::JobAnswer answer = Parse(reply);
  EXPECT_EQ(answer.failure().kind(), row.kind);
  EXPECT_EQ(answer.failure().execution(), row.execution);
  EXPECT_EQ(answer.results_size(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Ends, CallerEndTest,
    ::testing::Values(EndCase{"TaskFailed", "fail=1", 3, 5000, 502,
                              "task_failed", wire::MAY_HAVE_RUN},
                      EndCase{"Refused", "refuse=1", 1, 5000, 503,
                              "retries_exhausted", wire::NOT_RUN},
                      EndCase{"AnswerForAnotherAttempt", "run=1;cross=1", 1,
                              5000, 502, "outcome_unknown", wire::MAY_HAVE_RUN},
                      EndCase{"Hanging", "hang=1", 1, 300, 504,
                              "deadline_exceeded", wire::MAY_HAVE_RUN}),
    [](const auto& info) { return info.param.name; });

TEST_F(CallerContractTest, PlannedStopCompletesOpenJobs) {
  const std::string key = this->NewKey("a");
  Call("POST", this->address, "/v1/jobs?wait_ms=20",
       JobJson(key, "run=400;say=peace"));
  this->node->Stop();
  EXPECT_EQ(Call("GET", this->address, "/ready").status, 503);
  EXPECT_EQ(Call("GET", this->address, "/live").status, 200);
  const auto refused =
      Call("POST", this->address, "/v1/jobs", JobJson("", "run=1"));
  EXPECT_EQ(Parse(refused).failure().kind(), "draining");
  EXPECT_EQ(Parse(refused).failure().execution(), wire::NOT_RUN);
  const auto answer = Call("GET", this->address, "/v1/jobs/" + key);
  EXPECT_EQ(Parse(answer).state(), wire::COMPLETE);
  EXPECT_TRUE(RunLoopUntil([this] { return this->stopped; }));
  EXPECT_EQ(this->counts.stopped, 0U);
}

TEST_F(CallerContractTest, SecondStopCancelsOpenJobs) {
  const std::string key = this->NewKey("a");
  Call("POST", this->address, "/v1/jobs?wait_ms=20", JobJson(key, "run=20000"));
  this->node->Stop();
  this->node->Stop();
  const auto answer = Call("GET", this->address, "/v1/jobs/" + key);
  EXPECT_EQ(Parse(answer).failure().kind(), "cancelled");
  EXPECT_EQ(Parse(answer).failure().execution(), wire::MAY_HAVE_RUN);
  EXPECT_TRUE(RunLoopUntil([this] { return this->stopped; }));
}

TEST_F(CallerContractTest, PlannedStopEndsDuringLogOutage) {
  this->platform.SetAppendMode("down");
  this->node->Stop();
  EXPECT_TRUE(RunLoopUntil([this] { return this->stopped; }));
}

}  // namespace
}  // namespace hawthornwheel::testing
