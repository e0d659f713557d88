// Checks what callers with open connections see when a process stops.

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "base/address.h"
#include "base/glib_clock.h"
#include "node/platform_node.h"
#include "standins/hosted_store_server.h"
#include "support/http_call.h"
#include "support/keyed_store.h"
#include "support/loop.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kJob[] =
    R"({"jobSpec":"x","bestEffort":true,"steps":[{"count":1,"cpu":500,"estMs":50}]})";
constexpr char kConfiguration[] =
    R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/",
    "service":"s","timeoutMs":1500,"sloMs":60,"stretch":1.6,"attempts":2}],
    "services":[]})";

std::string SettingsText(const std::string& store_address) {
  return fmt::format(R"([process]
platform = hosted
name = a
domain = north
drain_time = 6s
[peers]
address = 127.0.0.1:0
[callers]
address = 127.0.0.1:0
[ready]
address = 127.0.0.1:0
[platform]
address = {}
)",
                     store_address);
}

node::PlatformNodeSettings Settings(const std::string& store_address) {
  const auto reading = node::PlatformNodeSettings::Read(
      "settings.ini", SettingsText(store_address));
  EXPECT_TRUE(reading.faults.empty());
  return reading.settings;
}

// A client that sends its requests when the test says so.
class Caller {
 public:
  explicit Caller(const std::string& address)
      : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const auto parsed = base::ParseAddress(address);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(parsed->port);
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(this->descriptor, reinterpret_cast<sockaddr*>(&peer),
                      sizeof(peer)),
              0);
  }
  ~Caller() { close(this->descriptor); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Submit(const std::string& id) const {
    const std::string request = fmt::format(
        "POST /p/{} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}", id,
        sizeof(kJob) - 1, kJob);
    EXPECT_EQ(
        send(this->descriptor, request.data(), request.size(), MSG_NOSIGNAL),
        static_cast<ssize_t>(request.size()));
  }

  // Returns the bytes that have arrived and not been received before.
  std::string Received() const {
    std::array<char, 4096> buffer{};
    const ssize_t size =
        recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return {buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0};
  }

 private:
  int descriptor;
};

class PlatformNodeStopTest : public ::testing::Test {
 protected:
  // The node comes first: like that of a program, its event loop then runs
  // timers before it reads requests.
  PlatformNodeStopTest()
      : node(std::make_unique<node::PlatformNode>(
            Settings("127.0.0.1:1"), [this] { this->stopped = true; })),
        store(this->clock),
        store_server(this->store, this->clock) {
    this->store.Write(catalog::Topic::kConfiguration, "config", kConfiguration);
    EXPECT_TRUE(this->node->Start().HasValue());
    this->node->Reload(Settings(this->store_server.Listen()));
  }

  // Runs the loop until the process has a configuration.
  void AwaitConfiguration() {
    EXPECT_TRUE(RunLoopUntil([this] {
      return this->node->Dump().find(R"("version":1)") != std::string::npos;
    }));
  }

  // Runs the loop as the program does, and ends the process.
  void RunUntilStopped() {
    EXPECT_TRUE(RunLoopUntil([this] { return this->stopped; }));
    this->node.reset();
  }

  bool stopped = false;
  std::unique_ptr<node::PlatformNode> node;
  base::GlibClock clock;
  KeyedStore store;
  HostedStoreServer store_server;
};

// Guards against requests that a stopping process reads in the last iteration
// of its event loop and never answers (issue 49, LOST at a planned stop).
TEST_F(PlatformNodeStopTest, RequestThatArrivesBeforeTheEndIsAnswered) {
  this->AwaitConfiguration();
  const Caller caller(this->node->CallerAddress());
  RunLoopFor(50);
  this->node->Stop(this->clock.Now());
  // Without open work, the process stops after 2.5 s. It is late meanwhile.
  RunLoopFor(2'350);
  ASSERT_FALSE(this->stopped);
  caller.Submit("00000000000000aa");
  std::this_thread::sleep_for(milliseconds(300));
  this->RunUntilStopped();
  EXPECT_EQ(caller.Received().substr(0, 12), "HTTP/1.1 503");
}

}  // namespace
}  // namespace hawthornwheel::testing
