// Checks that a call reaches its server at most once, and never after its
// sender has been told an outcome.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "base/glib_clock.h"
#include "http/async_http_client.h"
#include "support/loop.h"
#include "support/manual_server.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
constexpr int kSettleMs = 100;

class SingleDeliveryTest : public ::testing::Test {
 protected:
  using Outcome = std::shared_ptr<std::optional<base::Result<http::HttpReply>>>;

  Outcome Send(const std::string& target, base::Duration timeout = seconds(5),
               const std::string& body = "{}") {
    http::HttpCall call;
    call.method = "POST";
    call.address = this->server.Address();
    call.target = target;
    call.content_type = "application/json";
    call.body = body;
    call.timeout = timeout;
    auto outcome =
        std::make_shared<std::optional<base::Result<http::HttpReply>>>();
    this->client.Send(call, [outcome](base::Result<http::HttpReply> reply) {
      outcome->emplace(std::move(reply));
    });
    return outcome;
  }

  static bool WaitFor(const Outcome& outcome) {
    return RunLoopUntil([&outcome] { return outcome->has_value(); });
  }

  // Sends and answers a call, so that its connection is kept.
  int OpenConnection() {
    const Outcome first = this->Send("/first");
    const int connection = this->server.Accept();
    this->server.WaitForBytes(connection);
    this->server.Write(connection, kAnswer);
    EXPECT_TRUE(WaitFor(first) && (*first)->HasValue());
    return connection;
  }

  // Returns all bytes that arrive in the next `wait_ms` milliseconds.
  std::string BytesOfNext(int wait_ms) {
    RunLoopFor(wait_ms);
    this->server.AcceptAll();
    RunLoopFor(kSettleMs);
    return this->server.ReadAll();
  }

  static bool HasNoAnswer(const Outcome& outcome) {
    return outcome->has_value() && !(*outcome)->HasValue();
  }

  ManualServer server;
  base::GlibClock clock;
  http::AsyncHttpClient client{this->clock, 1};
};

// Guards against an order that is repeated because its connection ends after
// the request.
TEST_F(SingleDeliveryTest, ConnectionEndsAfterRequest) {
  for (const bool reset : {false, true}) {
    const int connection = this->OpenConnection();
    const Outcome outcome = this->Send("/order");
    EXPECT_NE(this->server.WaitForBytes(connection).find("/order"),
              std::string::npos);
    if (reset) {
      this->server.Reset(connection);
    } else {
      this->server.Close(connection);
    }
    ASSERT_TRUE(WaitFor(outcome));
    EXPECT_TRUE(HasNoAnswer(outcome));
    EXPECT_EQ(this->BytesOfNext(kSettleMs), "");
  }
}

// Guards against an order that is repeated because its connection ends while
// the request is being written.
TEST_F(SingleDeliveryTest, ConnectionEndsDuringRequest) {
  const int connection = this->OpenConnection();
  const std::string large(32 << 20, 'x');
  const Outcome outcome = this->Send("/order", seconds(5), large);
  EXPECT_NE(this->server.WaitForBytes(connection).find("/order"),
            std::string::npos);
  this->server.Reset(connection);
  ASSERT_TRUE(WaitFor(outcome));
  EXPECT_TRUE(HasNoAnswer(outcome));
  EXPECT_EQ(this->BytesOfNext(kSettleMs), "");
}

// Guards against an order that is sent after its time limit, when a connection
// becomes free.
TEST_F(SingleDeliveryTest, TimedOutCallThatWaitedForConnectionIsNotSent) {
  const Outcome first = this->Send("/first");
  const int connection = this->server.Accept();
  this->server.WaitForBytes(connection);
  const Outcome outcome = this->Send("/order", milliseconds(50));
  ASSERT_TRUE(WaitFor(outcome));
  EXPECT_TRUE(HasNoAnswer(outcome));
  this->server.Write(connection, kAnswer);
  ASSERT_TRUE(WaitFor(first));
  EXPECT_EQ(this->BytesOfNext(kSettleMs), "");
}

// Guards against an order that a process sends when it wakes from a pause:
// whoever holds the endpoint by then does not know the order.
TEST_F(SingleDeliveryTest, OverdueCallIsNotSentAfterPause) {
  const Outcome first = this->Send("/first");
  const int connection = this->server.Accept();
  this->server.WaitForBytes(connection);
  const Outcome outcome = this->Send("/order", milliseconds(200));
  this->server.Write(connection, kAnswer);
  std::this_thread::sleep_for(milliseconds(1'000));
  ASSERT_TRUE(WaitFor(outcome));
  EXPECT_TRUE(HasNoAnswer(outcome));
  EXPECT_EQ(this->BytesOfNext(kSettleMs), "");
}

// As above, for an order whose connection was opened during the pause.
TEST_F(SingleDeliveryTest, OverdueCallIsNotSentOnConnectionOpenedDuringPause) {
  const Outcome outcome = this->Send("/order", milliseconds(200));
  std::this_thread::sleep_for(milliseconds(1'000));
  ASSERT_TRUE(WaitFor(outcome));
  EXPECT_TRUE(HasNoAnswer(outcome));
  EXPECT_EQ(this->BytesOfNext(kSettleMs), "");
}

// Guards against an order whose connection opens after its time limit: the
// kernel repeats the opening after 1 s.
TEST(OpeningConnectionTest, TimedOutCallIsNotSentWhenConnectionOpens) {
  constexpr int kLongerThanOpening = 1'500;
  ManualServer server(0);
  server.FillBacklog();
  base::GlibClock clock;
  http::AsyncHttpClient client(clock, 1);
  http::HttpCall call;
  call.method = "POST";
  call.address = server.Address();
  call.target = "/order";
  call.body = "{}";
  call.timeout = milliseconds(100);
  bool failed = false;
  client.Send(call, [&failed](const base::Result<http::HttpReply>& reply) {
    failed = !reply.HasValue();
  });
  ASSERT_TRUE(RunLoopUntil([&failed] { return failed; }));
  server.AcceptAll();
  RunLoopFor(kLongerThanOpening);
  server.AcceptAll();
  RunLoopFor(kSettleMs);
  EXPECT_EQ(server.ReadAll(), "");
}

// Guards against a late answer that is taken for that of the next order.
TEST_F(SingleDeliveryTest, LateAnswerIsNotTakenForNextAnswer) {
  const int first_connection = this->OpenConnection();
  const Outcome first = this->Send("/order", milliseconds(50));
  ASSERT_TRUE(WaitFor(first));
  EXPECT_TRUE(HasNoAnswer(first));
  const Outcome second = this->Send("/next");
  this->server.Write(first_connection,
                     "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}");
  const int connection = this->server.Accept();
  EXPECT_NE(this->server.WaitForBytes(connection).find("/next"),
            std::string::npos);
  this->server.Write(connection, kAnswer);
  ASSERT_TRUE(WaitFor(second));
  ASSERT_TRUE((*second)->HasValue());
  EXPECT_EQ((**second)->status, 200);
}

struct OddAnswer {
  const char* name;
  const char* bytes;
  /// Status that the sender sees, or 0 when it sees no answer.
  int status;
};

class OddAnswerTest : public SingleDeliveryTest,
                      public ::testing::WithParamInterface<OddAnswer> {};

// Guards against answers after which the client sends an order again by itself,
// or that it takes for complete.
TEST_P(OddAnswerTest, CallIsSentOnce) {
  const int connection = this->OpenConnection();
  const Outcome outcome = this->Send("/order");
  EXPECT_NE(this->server.WaitForBytes(connection).find("/order"),
            std::string::npos);
  this->server.Write(connection, GetParam().bytes);
  RunLoopFor(10);
  EXPECT_EQ(this->server.Read(connection), "");
  this->server.Close(connection);
  ASSERT_TRUE(WaitFor(outcome));
  EXPECT_EQ((*outcome)->HasValue() ? (**outcome)->status : 0,
            GetParam().status);
  EXPECT_EQ(this->BytesOfNext(kSettleMs), "");
}

INSTANTIATE_TEST_SUITE_P(
    Table, OddAnswerTest,
    ::testing::Values(
        OddAnswer{"Redirect",
                  "HTTP/1.1 307 Temporary Redirect\r\nLocation: /order\r\n"
                  "Content-Length: 0\r\n\r\n",
                  307},
        OddAnswer{"RequestTimeout",
                  "HTTP/1.1 408 Request Timeout\r\nRetry-After: 0\r\n"
                  "Content-Length: 0\r\n\r\n",
                  408},
        OddAnswer{"TooEarly",
                  "HTTP/1.1 425 Too Early\r\nContent-Length: 0\r\n\r\n", 425},
        OddAnswer{"Unavailable",
                  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\n"
                  "Content-Length: 0\r\n\r\n",
                  503},
        OddAnswer{"ExpectationFailed",
                  "HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n"
                  "\r\n",
                  417},
        OddAnswer{"Unauthorized",
                  "HTTP/1.1 401 Unauthorized\r\n"
                  "WWW-Authenticate: Basic realm=\"r\"\r\n"
                  "WWW-Authenticate: Negotiate\r\nContent-Length: 0\r\n\r\n",
                  401},
        OddAnswer{"ProxyAuthentication",
                  "HTTP/1.1 407 Proxy Authentication Required\r\n"
                  "Proxy-Authenticate: Basic realm=\"r\"\r\n"
                  "Content-Length: 0\r\n\r\n",
                  407},
        OddAnswer{"ContinueThenAnswer",
                  "HTTP/1.1 100 Continue\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                  200},
        OddAnswer{"ContinueThenEnd", "HTTP/1.1 100 Continue\r\n\r\n", 0},
        OddAnswer{"EarlyHintsThenEnd",
                  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 0},
        OddAnswer{"ContinueThenPartOfStatus",
                  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 20", 0},
        OddAnswer{"ContinueThenPartOfHeaders",
                  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nCont", 0},
        OddAnswer{"PartOfBody",
                  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", 0},
        OddAnswer{"PartOfChunks",
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\n{}\r\n",
                  0},
        OddAnswer{"BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n{}", 200},
        OddAnswer{"NotHttp", "garbage\r\n\r\n", 0}),
    [](const auto& row) { return row.param.name; });

// Guards against orders that are sent to a proxy named in the environment.
TEST(ProxyVariableTest, IsIgnored) {
  ManualServer server;
  ManualServer proxy;
  for (const char* name : {"http_proxy", "ALL_PROXY", "all_proxy"}) {
    setenv(name, ("http://user:secret@" + proxy.Address()).c_str(), 1);
  }
  base::GlibClock clock;
  http::AsyncHttpClient client(clock, 1);
  http::HttpCall call;
  call.method = "POST";
  call.address = server.Address();
  call.target = "/order";
  call.body = "{}";
  call.timeout = seconds(5);
  client.Send(call, [](const base::Result<http::HttpReply>&) {});
  const int connection = server.Accept();
  const std::string request = server.WaitForBytes(connection);
  EXPECT_EQ(request.find("uthorization"), std::string::npos);
  EXPECT_EQ(request.find("Expect:"), std::string::npos);
  EXPECT_EQ(proxy.AcceptAll(), 0);
}

// An order that was not sent is told apart from one whose outcome is unknown.
TEST_F(SingleDeliveryTest, CallWithoutConnectionIsNotSent) {
  std::string address;
  {
    const ManualServer closed;
    address = closed.Address();
  }
  http::HttpCall call;
  call.method = "POST";
  call.address = address;
  call.target = "/order";
  call.timeout = seconds(5);
  std::optional<base::Result<http::HttpReply>> outcome;
  this->client.Send(call, [&outcome](base::Result<http::HttpReply> reply) {
    outcome.emplace(std::move(reply));
  });
  ASSERT_TRUE(RunLoopUntil([&outcome] { return outcome.has_value(); }));
  ASSERT_FALSE(outcome->HasValue());
  EXPECT_EQ(outcome->GetError().Kind(), base::ErrorKind::kNotSent);
}

// As above, for an order that waited for a connection.
TEST_F(SingleDeliveryTest, CallThatWaitedForConnectionIsNotSent) {
  const Outcome first = this->Send("/first");
  const int connection = this->server.Accept();
  this->server.WaitForBytes(connection);
  const Outcome outcome = this->Send("/order", milliseconds(50));
  ASSERT_TRUE(WaitFor(outcome));
  ASSERT_FALSE((*outcome)->HasValue());
  EXPECT_EQ((*outcome)->GetError().Kind(), base::ErrorKind::kNotSent);
}

// Guards against an order that is lost or sent twice because its kept
// connection has ended before the request.
TEST_F(SingleDeliveryTest, KeptConnectionEndsBeforeRequest) {
  for (const bool reset : {false, true}) {
    const int kept = this->OpenConnection();
    if (reset) {
      this->server.Reset(kept);
    } else {
      this->server.Close(kept);
    }
    const Outcome outcome = this->Send("/order");
    const int connection = this->server.Accept();
    EXPECT_NE(this->server.WaitForBytes(connection).find("/order"),
              std::string::npos);
    this->server.Write(connection, kAnswer);
    ASSERT_TRUE(WaitFor(outcome));
    EXPECT_TRUE((*outcome)->HasValue());
    this->server.Close(connection);
    EXPECT_EQ(this->BytesOfNext(kSettleMs), "");
  }
}

// Guards against a second answer to one request that is taken for the answer to
// the next order.
TEST_F(SingleDeliveryTest, SurplusAnswerIsNotTakenForNextAnswer) {
  const int kept = this->OpenConnection();
  this->server.Write(kept,
                     "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}");
  const Outcome outcome = this->Send("/order");
  const int connection = this->server.Accept();
  EXPECT_NE(this->server.WaitForBytes(connection).find("/order"),
            std::string::npos);
  this->server.Write(connection, kAnswer);
  ASSERT_TRUE(WaitFor(outcome));
  ASSERT_TRUE((*outcome)->HasValue());
  EXPECT_EQ((**outcome)->status, 200);
  EXPECT_EQ(this->server.Read(kept), "");
}

}  // namespace
}  // namespace hawthornwheel::testing
