// Tests the contract of the HTTP interface to endpoints. Outcomes and faults
// are listed in tables.

#include <gtest/gtest.h>
#include <libsoup/soup.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/glib_clock.h"
#include "base/metrics.h"
#include "endpoints/http_endpoint_client.h"
#include "standins/endpoint_server.h"
#include "support/loop.h"
#include "support/raw_server.h"

namespace hawthornwheel::testing {
namespace {

using dispatch::AttemptOutcome;
using dispatch::AttemptResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

dispatch::TaskCall MakeCall(const std::string& endpoint,
                            const std::string& payload,
                            const std::string& attempt = "home.1") {
  dispatch::TaskCall call;
  call.endpoint = endpoint;
  call.attempt_id = attempt;
  call.task_id = "home/1/key#0";
  call.service = "booking";
  call.lease = seconds(5);
  call.time_left = seconds(5);
  call.payload = payload;
  return call;
}

AttemptResult RunAttempt(endpoints::HttpEndpointClient& client,
                         const dispatch::TaskCall& call) {
  std::optional<AttemptResult> outcome;
  client.Start(call, [&outcome](AttemptResult result) { outcome = result; });
  RunLoopUntil([&outcome] { return outcome.has_value(); });
  return outcome.value_or(AttemptResult{AttemptOutcome::kUnknown, "no answer"});
}

struct PayloadCase {
  const char* name;
  const char* payload;
  bool leaving;
  AttemptOutcome outcome;
  const char* content;
  std::uint32_t starts;
};

class EndpointPayloadTest : public ::testing::TestWithParam<PayloadCase> {};

TEST_P(EndpointPayloadTest, ReportsOutcomeOfAttempt) {
  const PayloadCase& row = GetParam();
  base::GlibClock clock;
  base::Metrics metrics;
  standins::EndpointCounts counts;
  standins::EndpointServer server(clock, counts, 1);
  server.SetLeaving(row.leaving);
  const std::string address =
      "127.0.0.1:" + std::to_string(*server.Listen("127.0.0.1:0"));
  endpoints::HttpEndpointClient client(metrics);
  const AttemptResult result =
      RunAttempt(client, MakeCall(address, row.payload));
  EXPECT_EQ(dispatch::AttemptOutcomeName(result.outcome),
            dispatch::AttemptOutcomeName(row.outcome));
  EXPECT_EQ(result.content, row.content);
  EXPECT_EQ(counts.starts["home/1/key#0"], row.starts);
}

INSTANTIATE_TEST_SUITE_P(
    Payloads, EndpointPayloadTest,
    ::testing::Values(PayloadCase{"Result", "run=1;say=yes", false,
                                  AttemptOutcome::kCompleted, "yes", 1},
                      PayloadCase{"EmptyResult", "run=1", false,
                                  AttemptOutcome::kCompleted, "", 1},
                      PayloadCase{"Failure", "fail=1", false,
                                  AttemptOutcome::kFailed, "failed", 1},
                      PayloadCase{"Refusal", "refuse=1", false,
                                  AttemptOutcome::kRefused, "refused", 0},
                      PayloadCase{"RefusalByLeavingEndpoint", "run=1", true,
                                  AttemptOutcome::kRefusedLeaving, "refused",
                                  0},
                      PayloadCase{"AnswerForAnotherAttempt",
                                  "run=1;cross=1;say=no", false,
                                  AttemptOutcome::kUnknown,
                                  "the answer is for another attempt", 1}),
    [](const auto& info) { return info.param.name; });

constexpr char kGoodAnswer[] =
    "HTTP/1.1 200 OK\r\nHawthornwheel-Attempt: home.1\r\n"
    "Content-Length: 2\r\n\r\nok";

struct WireCase {
  const char* name;
  /// Bytes sent to the last request; earlier requests get kGoodAnswer.
  const char* bytes;
  /// Whether the connection is closed after the last request.
  bool close;
  /// Number of sequential attempts of one client.
  int attempts;
  AttemptOutcome outcome;
};

class EndpointWireTest : public ::testing::TestWithParam<WireCase> {};

TEST_P(EndpointWireTest, SendsEachAttemptOnce) {
  const WireCase& row = GetParam();
  RawServer server([&row](const std::string&, int number) {
    if (number < row.attempts) return RawResponse{kGoodAnswer, false};
    return RawResponse{row.bytes, row.close};
  });
  base::Metrics metrics;
  endpoints::HttpEndpointClient client(metrics);
  AttemptResult result;
  for (int i = 0; i < row.attempts; ++i) {
    result = RunAttempt(client, MakeCall(server.Address(), "x"));
  }
  EXPECT_EQ(dispatch::AttemptOutcomeName(result.outcome),
            dispatch::AttemptOutcomeName(row.outcome))
      << result.content;
  RunLoopFor(50);
  EXPECT_EQ(server.Requests(), row.attempts);
}

INSTANTIATE_TEST_SUITE_P(
    Wire, EndpointWireTest,
    ::testing::Values(
        WireCase{"ClosedBeforeAnswer", "", true, 1, AttemptOutcome::kUnknown},
        WireCase{"ReusedConnectionClosedBeforeAnswer", "", true, 2,
                 AttemptOutcome::kUnknown},
        WireCase{"ClosedWithinHeaders", "HTTP/1.1 200 OK\r\nHawth", true, 1,
                 AttemptOutcome::kUnknown},
        WireCase{"ClosedWithinBody",
                 "HTTP/1.1 200 OK\r\nHawthornwheel-Attempt: home.1\r\n"
                 "Content-Length: 10\r\n\r\nhalf",
                 true, 1, AttemptOutcome::kUnknown},
        WireCase{"NotHttp", "hello\r\n\r\n", true, 1, AttemptOutcome::kUnknown},
        WireCase{"UnknownStatus",
                 "HTTP/1.1 500 Oops\r\nHawthornwheel-Attempt: home.1\r\n"
                 "Content-Length: 0\r\n\r\n",
                 false, 1, AttemptOutcome::kUnknown},
        WireCase{"Redirect",
                 "HTTP/1.1 307 Elsewhere\r\nLocation: /other\r\n"
                 "Content-Length: 0\r\n\r\n",
                 false, 1, AttemptOutcome::kUnknown},
        WireCase{"NoAttemptId",
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, 1,
                 AttemptOutcome::kUnknown},
        WireCase{"ReusedConnection", kGoodAnswer, false, 3,
                 AttemptOutcome::kCompleted}),
    [](const auto& info) { return info.param.name; });

// Describes what libsoup does when a reused connection closes before the
// answer. HttpEndpointClient relies on this behaviour to send each attempt at
// most once.
struct LibsoupCase {
  const char* name;
  const char* method;
  bool marked_idempotent;
  bool cancel_on_restart;
  int requests;
  int connections;
};

class LibsoupResendTest : public ::testing::TestWithParam<LibsoupCase> {};

void CancelOnRestart(SoupMessage*, gpointer cancellable) {
  g_cancellable_cancel(static_cast<GCancellable*>(cancellable));
}

void SetDone(GObject* source, GAsyncResult* result, gpointer done) {
  GBytes* bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr);
  if (bytes != nullptr) g_bytes_unref(bytes);
  *static_cast<bool*>(done) = true;
}

TEST_P(LibsoupResendTest, HasExpectedRequestsAndConnections) {
  const LibsoupCase& row = GetParam();
  RawServer server([](const std::string&, int number) {
    if (number == 1) return RawResponse{kGoodAnswer, false};
    return RawResponse{"", true};
  });
  SoupSession* session =
      soup_session_new_with_options("proxy-resolver", nullptr, nullptr);
  for (int i = 0; i < 2; ++i) {
    SoupMessage* message = soup_message_new(
        row.method, ("http://" + server.Address() + "/x").c_str());
    GCancellable* cancellable = g_cancellable_new();
    if (row.marked_idempotent) {
      soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    }
    if (row.cancel_on_restart) {
      g_signal_connect(message, "restarted", G_CALLBACK(CancelOnRestart),
                       cancellable);
    }
    bool done = false;
    soup_session_send_and_read_async(session, message, G_PRIORITY_DEFAULT,
                                     cancellable, SetDone, &done);
    RunLoopUntil([&done] { return done; });
    g_object_unref(message);
    g_object_unref(cancellable);
  }
  RunLoopFor(50);
  EXPECT_EQ(server.Requests(), row.requests);
  EXPECT_EQ(server.Connections(), row.connections);
  g_object_unref(session);
}

INSTANTIATE_TEST_SUITE_P(
    Libsoup, LibsoupResendTest,
    ::testing::Values(
        LibsoupCase{"GetIsResent", "GET", false, false, 3, 2},
        LibsoupCase{"PutIsResent", "PUT", false, false, 3, 2},
        LibsoupCase{"PostUsesNewConnection", "POST", false, false, 2, 2},
        LibsoupCase{"PostMarkedIdempotentReusesConnection", "POST", true, false,
                    2, 1},
        LibsoupCase{"CancelledPutIsNotResent", "PUT", false, true, 2, 1}),
    [](const auto& info) { return info.param.name; });

TEST(EndpointContractTest, ReusesConnections) {
  RawServer server([](const std::string&, int) {
    return RawResponse{kGoodAnswer, false};
  });
  base::Metrics metrics;
  endpoints::HttpEndpointClient client(metrics);
  for (int i = 0; i < 5; ++i) {
    RunAttempt(client, MakeCall(server.Address(), "x"));
  }
  EXPECT_EQ(server.Connections(), 1);
}

TEST(EndpointContractTest, RefusedConnectionIsReportedAsNotSent) {
  std::string address;
  {
    RawServer server([](const std::string&, int) {
      return RawResponse{"", true};
    });
    address = server.Address();
  }
  base::Metrics metrics;
  endpoints::HttpEndpointClient client(metrics);
  const AttemptResult result = RunAttempt(client, MakeCall(address, "x"));
  EXPECT_EQ(dispatch::AttemptOutcomeName(result.outcome), "not_sent");
}

TEST(EndpointContractTest, StopEndsTaskAndSuppressesAnswer) {
  base::GlibClock clock;
  base::Metrics metrics;
  standins::EndpointCounts counts;
  standins::EndpointServer server(clock, counts, 1);
  const std::string address =
      "127.0.0.1:" + std::to_string(*server.Listen("127.0.0.1:0"));
  endpoints::HttpEndpointClient client(metrics);
  bool answered = false;
  client.Start(MakeCall(address, "run=20000"),
               [&answered](const AttemptResult&) { answered = true; });
  RunLoopUntil([&] { return server.Running() == 1; });
  bool confirmed = false;
  client.Stop(address, "home.1", [&](bool accepted) { confirmed = accepted; });
  RunLoopUntil([&] { return confirmed; });
  EXPECT_EQ(server.Running(), 0U);
  EXPECT_EQ(counts.stopped, 1U);
  EXPECT_FALSE(answered);
}

TEST(EndpointContractTest, StopsAtOneEndpointAreBatched) {
  base::GlibClock clock;
  base::Metrics metrics;
  standins::EndpointCounts counts;
  standins::EndpointServer server(clock, counts, 1);
  const std::string address =
      "127.0.0.1:" + std::to_string(*server.Listen("127.0.0.1:0"));
  endpoints::HttpEndpointClient client(metrics);
  constexpr std::uint32_t kTasks = 8;
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    client.Start(MakeCall(address, "run=20000", "home." + std::to_string(i)),
                 [](const AttemptResult&) {});
  }
  RunLoopUntil([&] { return server.Running() == kTasks; });
  std::uint32_t confirmed = 0;
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    client.Stop(address, "home." + std::to_string(i),
                [&](bool accepted) { confirmed += accepted ? 1 : 0; });
  }
  RunLoopUntil([&] { return confirmed == kTasks; });
  EXPECT_LE(counts.stops, 2U);
}

TEST(EndpointContractTest, UndeliveredStopIsReported) {
  std::string address;
  {
    RawServer server([](const std::string&, int) {
      return RawResponse{"", true};
    });
    address = server.Address();
  }
  base::Metrics metrics;
  endpoints::HttpEndpointClient client(metrics);
  std::optional<bool> accepted;
  client.Stop(address, "home.1", [&](bool result) { accepted = result; });
  RunLoopUntil([&] { return accepted.has_value(); });
  EXPECT_EQ(accepted, std::optional<bool>(false));
}

TEST(EndpointContractTest, RenewalExtendsLease) {
  base::GlibClock clock;
  base::Metrics metrics;
  standins::EndpointCounts counts;
  standins::EndpointServer server(clock, counts, 1);
  const std::string address =
      "127.0.0.1:" + std::to_string(*server.Listen("127.0.0.1:0"));
  endpoints::HttpEndpointClient client(metrics);
  dispatch::TaskCall call = MakeCall(address, "run=20000");
  call.lease = milliseconds(200);
  std::optional<AttemptResult> outcome;
  client.Start(call, [&](AttemptResult result) { outcome = result; });
  RunLoopUntil([&] { return server.Running() == 1; });
  bool renewed = false;
  client.Renew(address, {"home.1"}, seconds(30),
               [&](bool accepted) { renewed = accepted; });
  RunLoopUntil([&] { return renewed; });
  RunLoopFor(300);
  EXPECT_EQ(server.Running(), 1U);
  EXPECT_EQ(counts.expired, 0U);
  client.Renew(address, {"home.1"}, milliseconds(1), [](bool) {});
  RunLoopUntil([&] { return outcome.has_value(); });
  EXPECT_EQ(counts.expired, 1U);
}

}  // namespace
}  // namespace hawthornwheel::testing
