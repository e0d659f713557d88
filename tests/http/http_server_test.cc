#include "http/http_server.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "support/loop.h"

namespace hawthornwheel::testing {
namespace {

constexpr char kRequest[] =
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";

class HttpServerTest : public ::testing::Test {
 protected:
  HttpServerTest()
      : server(1'000, "{}",
               [this](const http::HttpRequest&,
                      const http::HttpServer::Responder& respond) {
                 ++this->handled;
                 respond({});
               }) {}

  // Starts the server, connects a client and sends a request. Returns the
  // client's socket. The main loop is not running meanwhile, which simulates a
  // paused process.
  int SendRequest() {
    const auto port = this->server.Listen("127.0.0.1:0");
    EXPECT_TRUE(port.HasValue());
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(*port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(client, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    const std::string request = kRequest;
    EXPECT_EQ(send(client, request.data(), request.size(), 0),
              static_cast<ssize_t>(request.size()));
    return client;
  }

  int handled = 0;
  http::HttpServer server;
};

TEST_F(HttpServerTest, RequestOfConnectedClientIsHandled) {
  const int client = this->SendRequest();
  EXPECT_TRUE(RunLoopUntil([this] { return this->handled == 1; }));
  close(client);
}

// After a pause, a process receives requests whose clients have timed out and
// have resent the requests to another process. When the resumed process
// handled them too, tasks ran twice at the same time (soak seed 209).
TEST_F(HttpServerTest, RequestOfDisconnectedClientIsNotHandled) {
  const int client = this->SendRequest();
  close(client);
  RunLoopFor(200);
  EXPECT_EQ(this->handled, 0);
  EXPECT_EQ(this->server.OpenRequests(), 0U);
}

TEST_F(HttpServerTest, LaterRequestOfDisconnectedClientIsNotHandled) {
  const int client = this->SendRequest();
  ASSERT_TRUE(RunLoopUntil([this] { return this->handled == 1; }));
  RunLoopFor(50);
  const std::string request = kRequest;
  EXPECT_EQ(send(client, request.data(), request.size(), 0),
            static_cast<ssize_t>(request.size()));
  close(client);
  RunLoopFor(200);
  EXPECT_EQ(this->handled, 1);
}

}  // namespace
}  // namespace hawthornwheel::testing
