#include "http/async_http_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

#include "base/glib_clock.h"
#include "support/loop.h"
#include "support/raw_server.h"

namespace hawthornwheel::testing {
namespace {

constexpr int kStatusOk = 200;

class AsyncHttpClientTest : public ::testing::Test {
 protected:
  // The server answers the first request and closes the kept connection without
  // an answer to the second one.
  AsyncHttpClientTest()
      : server([](const std::string&, int request) {
          if (request == 2) return RawResponse{"", true};
          return RawResponse{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                             false};
        }),
        client(this->clock, 1) {}

  base::Result<http::HttpReply> Send(bool repeatable) {
    http::HttpCall call;
    call.method = "POST";
    call.address = this->server.Address();
    call.target = "/order";
    call.content_type = "application/json";
    call.body = "{}";
    call.timeout = std::chrono::seconds(5);
    call.repeatable = repeatable;
    std::optional<base::Result<http::HttpReply>> reply;
    this->client.Send(call, [&reply](base::Result<http::HttpReply> answer) {
      reply.emplace(std::move(answer));
    });
    EXPECT_TRUE(RunLoopUntil([&reply] { return reply.has_value(); }));
    return *reply;
  }

  RawServer server;
  base::GlibClock clock;
  http::AsyncHttpClient client;
};

// Guards against an order that reaches its server twice: libcurl repeats a
// request whose kept connection ended before the answer, although the server
// may have carried it out.
TEST_F(AsyncHttpClientTest, CallIsSentOnceWhenItsKeptConnectionEnds) {
  ASSERT_TRUE(this->Send(false));
  const auto second = this->Send(false);
  ASSERT_FALSE(second);
  EXPECT_EQ(second.GetError().Kind(), base::ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(this->server.Requests(), 2);
}

TEST_F(AsyncHttpClientTest, RepeatableCallIsAnsweredOnNewConnection) {
  ASSERT_TRUE(this->Send(true));
  const auto second = this->Send(true);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->status, kStatusOk);
  EXPECT_EQ(this->server.Requests(), 3);
}

// A connection that the server has closed while it was idle is not used.
TEST_F(AsyncHttpClientTest, CallAfterLostConnectionIsSentOnNewConnection) {
  ASSERT_TRUE(this->Send(false));
  ASSERT_FALSE(this->Send(false));
  EXPECT_TRUE(this->Send(false));
  EXPECT_EQ(this->server.Requests(), 3);
}

}  // namespace
}  // namespace hawthornwheel::testing
