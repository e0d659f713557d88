#include "http/async_http_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
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

// Guards against a server that goes on with a call that was given up: the
// connection is closed at once, so that the server notices.
TEST(AsyncHttpClientTimeoutTest, ConnectionOfOverdueCallIsClosed) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&address), size), 0);
  ASSERT_EQ(listen(listener, 1), 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  base::GlibClock clock;
  http::AsyncHttpClient client(clock, 1);
  http::HttpCall call;
  call.method = "POST";
  call.address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  call.target = "/order";
  call.body = "{}";
  call.timeout = std::chrono::milliseconds(50);
  bool done = false;
  client.Send(call,
              [&done](const base::Result<http::HttpReply>&) { done = true; });
  ASSERT_TRUE(RunLoopUntil([&done] { return done; }));
  const int connection = accept(listener, nullptr, nullptr);
  std::array<char, 4096> buffer{};
  EXPECT_GT(recv(connection, buffer.data(), buffer.size(), MSG_DONTWAIT), 0);
  EXPECT_EQ(recv(connection, buffer.data(), buffer.size(), MSG_DONTWAIT), 0);
  close(connection);
  close(listener);
}

}  // namespace
}  // namespace hawthornwheel::testing
