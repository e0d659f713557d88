#include "http/connection_guard.h"

#include <libsoup/soup.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "base/logger.h"
#include "base/timer.h"
#include "http/peer_state.h"

namespace hawthornwheel::http {
namespace {

constexpr base::Logger kLog("http");

// Connections are checked this often per shortest timeout, so that a timeout is
// exceeded by at most a quarter.
constexpr int kChecksPerTimeout = 4;
constexpr base::Duration kMaxCheckInterval = std::chrono::seconds(1);

// States of a TCP connection in tcp_info (Linux, include/net/tcp_states.h).
constexpr int kTcpClose = 7;
constexpr int kTcpCloseWait = 8;
// Minimum pause between two searches for closed connections when there are too
// many.
constexpr base::Duration kMinSearchPause = std::chrono::milliseconds(100);

/// Describes a TCP connection.
struct TcpState {
  /// Number of bytes received; 0 when unknown.
  std::uint64_t received_bytes = 0;
  /// Whether the client has closed or reset the connection.
  bool closed_by_client = false;
};

TcpState TcpStateOf(GSocket* socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(g_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info,
                 &size) != 0) {
    return {};
  }
  const bool closed =
      info.tcpi_state == kTcpCloseWait || info.tcpi_state == kTcpClose;
  // The kernel counts the end of the stream as a byte.
  const std::uint64_t end = closed && info.tcpi_bytes_received > 0 ? 1 : 0;
  return {info.tcpi_bytes_received - end, closed};
}

}  // namespace

class ConnectionGuard::Private {
 public:
  /// What a connection waits for.
  enum class Phase { kFirstByte, kHeaders, kBody, kAnswer };

  struct Connection {
    Phase phase = Phase::kFirstByte;
    base::TimePoint phase_start;
    /// Bytes received before the request that is awaited.
    std::uint64_t bytes_before = 0;
  };

  Private(base::Clock& clock, const ConnectionLimits& limits,
          SoupServer* server)
      : clock(clock), limits(limits), server(server), check_timer(clock) {
    this->started_handler = g_signal_connect(
        server, "request-started", G_CALLBACK(OnRequestStarted), this);
    const base::Duration shortest = std::min(
        {limits.header_timeout, limits.body_timeout, limits.idle_timeout});
    this->check_timer.StartPeriodic(
        std::min(kMaxCheckInterval, shortest / kChecksPerTimeout),
        [this] { this->CloseOverdue(); });
  }

  ~Private() {
    g_signal_handler_disconnect(this->server, this->started_handler);
    for (auto& [message, socket] : this->messages) {
      g_signal_handlers_disconnect_by_data(message, this);
      g_object_weak_unref(G_OBJECT(message), OnMessageDestroyed, this);
    }
    for (auto& [socket, connection] : this->connections) {
      g_object_weak_unref(G_OBJECT(socket), OnSocketDestroyed, this);
    }
  }

  // libsoup creates the message of the first request of a connection when the
  // connection is accepted, and that of a later request when it arrives.
  static void OnRequestStarted(SoupServer*, SoupServerMessage* message,
                               gpointer data) {
    auto* self = static_cast<Private*>(data);
    GSocket* socket = soup_server_message_get_socket(message);
    if (socket == nullptr || g_socket_is_closed(socket)) return;
    if (!self->connections.contains(socket) && !self->Add(socket)) return;
    self->messages[message] = socket;
    g_signal_connect(message, "got-headers", G_CALLBACK(OnHeaders), self);
    g_signal_connect(message, "got-body", G_CALLBACK(OnBody), self);
    g_object_weak_ref(G_OBJECT(message), OnMessageDestroyed, self);
  }

  // Returns false when there are too many connections.
  bool Add(GSocket* socket) {
    const base::TimePoint now = this->clock.Now();
    if (this->connections.size() >= this->limits.max_connections &&
        now - this->last_search >= kMinSearchPause) {
      this->last_search = now;
      this->ReleaseClosed();
    }
    if (this->connections.size() >= this->limits.max_connections) {
      ++this->refused;
      g_socket_shutdown(socket, TRUE, TRUE, nullptr);
      return false;
    }
    this->connections[socket].phase_start = this->clock.Now();
    g_object_weak_ref(G_OBJECT(socket), OnSocketDestroyed, this);
    return true;
  }

  static void OnHeaders(SoupServerMessage* message, gpointer data) {
    static_cast<Private*>(data)->Enter(message, Phase::kBody);
  }

  static void OnBody(SoupServerMessage* message, gpointer data) {
    static_cast<Private*>(data)->Enter(message, Phase::kAnswer);
  }

  static void OnMessageDestroyed(gpointer data, GObject* object) {
    auto* self = static_cast<Private*>(data);
    auto* message = reinterpret_cast<SoupServerMessage*>(object);
    self->Enter(message, Phase::kFirstByte);
    self->messages.erase(message);
  }

  static void OnSocketDestroyed(gpointer data, GObject* object) {
    auto* self = static_cast<Private*>(data);
    self->connections.erase(reinterpret_cast<GSocket*>(object));
  }

  // A closed socket may be destroyed much later.
  void RemoveClosed() {
    std::erase_if(this->connections, [this](const auto& item) {
      if (!g_socket_is_closed(item.first)) return false;
      g_object_weak_unref(G_OBJECT(item.first), OnSocketDestroyed, this);
      return true;
    });
  }

  // Closes idle connections that their clients have closed. libsoup 3.2 reads
  // the end of the stream, but keeps the socket.
  void ReleaseClosed() {
    for (const auto& [socket, connection] : this->connections) {
      if (connection.phase != Phase::kFirstByte) continue;
      if (!g_socket_is_closed(socket)) this->Release(socket, connection);
    }
    this->RemoveClosed();
  }

  // Closes an idle connection if its client has closed it and has sent nothing
  // before that. Returns the number of bytes received.
  static std::uint64_t Release(GSocket* socket, const Connection& connection) {
    const TcpState state = TcpStateOf(socket);
    if (state.closed_by_client &&
        state.received_bytes <= connection.bytes_before) {
      g_socket_close(socket, nullptr);
    }
    return state.received_bytes;
  }

  void Enter(SoupServerMessage* message, Phase phase) {
    const auto socket = this->messages.find(message);
    if (socket == this->messages.end()) return;
    const auto found = this->connections.find(socket->second);
    if (found == this->connections.end()) return;
    if (g_socket_is_closed(found->first)) return;
    Connection& connection = found->second;
    connection.phase = phase;
    connection.phase_start = this->clock.Now();
    if (phase == Phase::kFirstByte)
      connection.bytes_before = TcpStateOf(found->first).received_bytes;
  }

  void CloseOverdue() {
    const base::TimePoint now = this->clock.Now();
    if (this->refused > 0) {
      kLog.Warning(
          "Connections were closed. cause=\"too many\" closed={} max={}",
          this->refused, this->limits.max_connections);
      this->refused = 0;
    }
    this->RemoveClosed();
    for (auto& [socket, connection] : this->connections) {
      if (connection.phase == Phase::kFirstByte &&
          Release(socket, connection) > connection.bytes_before) {
        connection.phase = Phase::kHeaders;
        connection.phase_start = now;
      }
      if (g_socket_is_closed(socket)) continue;
      const base::Duration age = now - connection.phase_start;
      const char* cause = this->OverdueCause(connection.phase, age);
      if (cause == nullptr) continue;
      kLog.Info("Connection is closed. cause=\"{}\" age_ms={}", cause,
                age / std::chrono::milliseconds(1));
      // libsoup reads the end of the stream and drops the connection.
      g_socket_shutdown(socket, TRUE, TRUE, nullptr);
      connection.phase = Phase::kAnswer;
    }
  }

  // Returns why a connection is closed that has been in `phase` for `age`, or
  // null.
  const char* OverdueCause(Phase phase, base::Duration age) const {
    switch (phase) {
      case Phase::kFirstByte:
        return age > this->limits.idle_timeout ? "idle" : nullptr;
      case Phase::kHeaders:
        return age > this->limits.header_timeout ? "incomplete headers"
                                                 : nullptr;
      case Phase::kBody:
        return age > this->limits.body_timeout ? "incomplete body" : nullptr;
      case Phase::kAnswer:
        return nullptr;
    }
    return nullptr;
  }

  base::Clock& clock;
  ConnectionLimits limits;
  SoupServer* server;
  gulong started_handler = 0;
  /// Connections that were closed since the last check because there were too
  /// many.
  std::size_t refused = 0;
  /// Connections by socket. A socket is removed when it is destroyed.
  std::unordered_map<GSocket*, Connection> connections;
  /// Sockets of the requests that are read or handled.
  std::unordered_map<SoupServerMessage*, GSocket*> messages;
  /// Time of the latest search for closed connections at the maximum.
  base::TimePoint last_search;
  base::Timer check_timer;
};

ConnectionGuard::ConnectionGuard(base::Clock& clock,
                                 const ConnectionLimits& limits,
                                 SoupServer* server)
    : d(std::make_unique<Private>(clock, limits, server)) {}

ConnectionGuard::~ConnectionGuard() = default;

bool ConnectionGuard::HasUnreadBytes() const {
  return std::any_of(this->d->connections.begin(), this->d->connections.end(),
                     [](const auto& item) {
                       return !g_socket_is_closed(item.first) &&
                              PeerStateOf(g_socket_get_fd(item.first)) ==
                                  PeerState::kSending;
                     });
}

std::size_t ConnectionGuard::ConnectionCount() const {
  this->d->RemoveClosed();
  return this->d->connections.size();
}

}  // namespace hawthornwheel::http
