// Checks the orders to the platform's endpoints: requests, answers and faulty
// answers.

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

#include "base/glib_clock.h"
#include "platform/order_client.h"
#include "support/loop.h"
#include "support/raw_server.h"

namespace hawthornwheel::testing {
namespace {

using runs::OrderOutcome;
using runs::OrderReply;
using std::chrono::milliseconds;

RawResponse Response(const std::string& status, const std::string& body) {
  return {"HTTP/1.1 " + status + "\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body,
          false};
}

runs::StartOrder StartAt(const std::string& address) {
  runs::StartOrder order;
  order.target = {address, "i-1", 77, milliseconds(200)};
  order.task = "t.0.0.1";
  order.run = 2;
  order.payload = "text \"quoted\"";
  order.lease_until_ms = 900;
  return order;
}

OrderReply Send(const RawServer& server) {
  base::GlibClock clock;
  platform::OrderClient client(clock);
  std::optional<OrderReply> reply;
  client.Start(StartAt(server.Address()),
               [&](const OrderReply& answer) { reply = answer; });
  EXPECT_TRUE(RunLoopUntil([&] { return reply.has_value(); }));
  return *reply;
}

TEST(OrderContractTest, StartSendsFencingTokenLeaseAndExpectedInstance) {
  std::string request;
  const RawServer server([&request](const std::string& text, int) {
    request = text;
    return Response("200 OK", R"({"clockMs":482})");
  });
  const OrderReply reply = Send(server);
  EXPECT_EQ(reply.outcome, OrderOutcome::kAccepted);
  EXPECT_EQ(reply.clock_ms, 482);
  EXPECT_EQ(reply.incarnation_start_ms, 0);
  for (const char* part :
       {"POST /run-start", "Hawthornwheel-Expect-Instance: i-1",
        R"("taskId":"t.0.0.1")", R"("runId":2)", R"("fence":77)",
        R"("untilMs":900)", R"("jobSpec":"text \"quoted\"")"}) {
    EXPECT_NE(request.find(part), std::string::npos) << part;
  }
}

struct StartAnswer {
  const char* name;
  RawResponse response;
  OrderOutcome outcome;
};

class StartAnswerTest : public ::testing::TestWithParam<StartAnswer> {};

TEST_P(StartAnswerTest, IsMappedToItsOutcome) {
  const RawServer server(
      [](const std::string&, int) { return GetParam().response; });
  EXPECT_EQ(Send(server).outcome, GetParam().outcome);
}

RawResponse ConflictResponse(const char* reason) {
  return Response("409 Conflict",
                  std::string(R"({"clockMs":1,"reason":")") + reason + "\"}");
}

INSTANTIATE_TEST_SUITE_P(
    Table, StartAnswerTest,
    ::testing::Values(
        StartAnswer{"Fenced", ConflictResponse("fence"), OrderOutcome::kFenced},
        StartAnswer{"StaleRun", ConflictResponse("old"),
                    OrderOutcome::kStaleRun},
        StartAnswer{"LeaseExpired", ConflictResponse("late"),
                    OrderOutcome::kExpired},
        StartAnswer{"NoCapacity", ConflictResponse("room"),
                    OrderOutcome::kNoCapacity},
        StartAnswer{"Invalid", Response("400 Bad Request", "{}"),
                    OrderOutcome::kInvalid},
        StartAnswer{"Misdirected", Response("421 Misdirected", "{}"),
                    OrderOutcome::kWrongInstance},
        StartAnswer{"TooMany", Response("429 Too Many Requests", "{}"),
                    OrderOutcome::kOverloaded},
        StartAnswer{"Unavailable", Response("503 Unavailable", "{}"),
                    OrderOutcome::kOverloaded},
        StartAnswer{"ServerError", Response("500 Error", "{}"),
                    OrderOutcome::kUnanswered},
        StartAnswer{"Reset", RawResponse{"", true}, OrderOutcome::kUnanswered},
        StartAnswer{"NoResponse", RawResponse{"", false},
                    OrderOutcome::kUnanswered},
        StartAnswer{"TruncatedResponse",
                    RawResponse{"HTTP/1.1 200 OK\r\nConte", true},
                    OrderOutcome::kUnanswered}),
    [](const auto& row) { return row.param.name; });

TEST(OrderContractTest, StartWithoutConnectionIsNotSent) {
  std::string address;
  {
    const RawServer closed([](const std::string&, int) {
      return RawResponse{"", true};
    });
    address = closed.Address();
  }
  base::GlibClock clock;
  platform::OrderClient client(clock);
  runs::StartOrder order;
  order.target = {address, "i-1", 7, milliseconds(500)};
  std::optional<runs::OrderReply> reply;
  client.Start(order, [&](const runs::OrderReply& answer) { reply = answer; });
  ASSERT_TRUE(RunLoopUntil([&] { return reply.has_value(); }));
  EXPECT_EQ(reply->outcome, OrderOutcome::kNotSent);
}

runs::PollReply PollFor(const RawServer& server) {
  base::GlibClock clock;
  platform::OrderClient client(clock);
  runs::PollOrder order;
  order.target = {server.Address(), "i-1", 7, milliseconds(200)};
  std::optional<runs::PollReply> reply;
  client.Poll(order, [&](const runs::PollReply& answer) { reply = answer; });
  EXPECT_TRUE(RunLoopUntil([&] { return reply.has_value(); }));
  return *reply;
}

struct PollAnswer {
  const char* name;
  RawResponse response;
};

class UnreadablePollAnswerTest : public ::testing::TestWithParam<PollAnswer> {};

// Guards against runs that count as not there because their list could not be
// read: a task is then started again beside its first run.
TEST_P(UnreadablePollAnswerTest, IsNoListOfRuns) {
  const RawServer server(
      [](const std::string&, int) { return GetParam().response; });
  EXPECT_EQ(PollFor(server).order.outcome, OrderOutcome::kUnanswered);
}

INSTANTIATE_TEST_SUITE_P(
    Table, UnreadablePollAnswerTest,
    ::testing::Values(
        PollAnswer{"Empty", Response("200 OK", "")},
        PollAnswer{"NotJson", Response("200 OK", "<html>")},
        PollAnswer{"NotObject", Response("200 OK", "[]")},
        PollAnswer{"WithoutClock", Response("200 OK", "{}")},
        PollAnswer{"RunsOfAnotherType",
                   Response("200 OK", R"({"clockMs":9,"born":5,"running":"",)"
                                      R"("endedRuns":[]})")},
        PollAnswer{"EndsOfAnotherType",
                   Response("200 OK", R"({"clockMs":9,"born":5,"running":[],)"
                                      R"("endedRuns":null})")},
        PollAnswer{"CutShortWithoutLength",
                   RawResponse{"HTTP/1.1 200 OK\r\n\r\n"
                               R"({"clockMs":9,"born":5,"running":[["a",1,)",
                               true}},
        PollAnswer{"CutShortWithLength",
                   RawResponse{"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"
                               R"({"clockMs":9,"born":5,"running":[]})",
                               true}}),
    [](const auto& row) { return row.param.name; });

// Guards against a run that counts as not there because its progress could not
// be read.
TEST(OrderContractTest, RunWithUnreadableProgressIsListed) {
  const RawServer server([](const std::string&, int) {
    return Response("200 OK",
                    R"({"clockMs":9,"born":5,"running":[["a",1,"","?"],)"
                    R"(["b",2]],"endedRuns":[]})");
  });
  const runs::PollReply reply = PollFor(server);
  EXPECT_EQ(reply.order.outcome, OrderOutcome::kAccepted);
  ASSERT_EQ(reply.running.size(), 2U);
  EXPECT_EQ(reply.running[0].task, "a");
  EXPECT_EQ(reply.running[0].percent, 0);
  EXPECT_EQ(reply.running[1].run, 2U);
}

TEST(OrderContractTest, PollReturnsRunningAndEndedRuns) {
  std::string request;
  const RawServer server([&request](const std::string& text, int) {
    request = text;
    return Response(
        "200 OK",
        R"({"clockMs":9,"born":5,"running":[["a",1,"",41],["broken"],7],)"
        R"("endedRuns":[[58,"b",2,"done",""],[59,"c",1,"lapsed",""],[1]]})");
  });
  base::GlibClock clock;
  platform::OrderClient client(clock);
  runs::PollOrder order;
  order.target = {server.Address(), "i-1", 7, milliseconds(500)};
  order.lease_until_ms = 1000;
  order.acked_end_seq = 57;
  order.wait = milliseconds(250);
  std::optional<runs::PollReply> reply;
  client.Poll(order, [&](const runs::PollReply& answer) { reply = answer; });
  ASSERT_TRUE(RunLoopUntil([&] { return reply.has_value(); }));
  EXPECT_EQ(reply->order.incarnation_start_ms, 5);
  ASSERT_EQ(reply->running.size(), 1U);
  EXPECT_EQ(reply->running[0].percent, 41);
  ASSERT_EQ(reply->ended.size(), 2U);
  EXPECT_EQ(reply->ended[0].sequence_number, 58U);
  EXPECT_EQ(reply->ended[0].kind, runs::RunEndKind::kDone);
  EXPECT_EQ(reply->ended[1].kind, runs::RunEndKind::kLeaseExpired);
  for (const char* part : {"POST /hold", R"("ackedSeq":57)", R"("waitMs":250)",
                           R"("untilMs":1000)"}) {
    EXPECT_NE(request.find(part), std::string::npos) << part;
  }
}

TEST(OrderContractTest, ConnectionIsReused) {
  const RawServer server([](const std::string&, int) {
    return Response("200 OK", R"({"clockMs":1})");
  });
  base::GlibClock clock;
  platform::OrderClient client(clock);
  for (int i = 0; i < 5; ++i) {
    std::optional<OrderReply> reply;
    client.Start(StartAt(server.Address()),
                 [&](const OrderReply& answer) { reply = answer; });
    ASSERT_TRUE(RunLoopUntil([&] { return reply.has_value(); }));
  }
  EXPECT_EQ(server.Connections(), 1);
}

}  // namespace
}  // namespace hawthornwheel::testing
