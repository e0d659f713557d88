#include "peers/zmq_transport.h"

#include <glib.h>
#include <zmq.h>

#include <array>
#include <map>
#include <utility>

#include "base/address.h"
#include "base/metrics.h"

namespace hawthornwheel::peers {
namespace {

using base::Error;
using base::ErrorKind;

constexpr int kMaxQueuedMessages = 10'000;
constexpr int kLingerMs = 200;
constexpr int kReconnectIntervalMs = 50;
constexpr int kMaxReconnectIntervalMs = 200;
// The connecting side of a connection sends ZeroMQ heartbeats. It closes and
// reopens a connection on which it receives nothing for the heartbeat interval
// plus the heartbeat timeout. The accepting side sends none of its own, since
// it only receives; it closes a connection on which no heartbeat arrives for
// kHeartbeatTtlMs.
constexpr int kHeartbeatMs = 500;
constexpr int kHeartbeatTimeoutMs = 1'000;
constexpr int kHeartbeatTtlMs = 5'000;
constexpr int kConnectTimeoutMs = 500;
constexpr std::int64_t kMaxMessageBytes = 64 << 20;
// Maximum number of messages received in one dispatch of the event source, so
// that other sources of the event loop are served too.
constexpr int kMaxMessagesPerDispatch = 256;
// Maximum number of outgoing sockets. When it is reached, the socket whose
// address sorts first is closed before a new one is opened.
constexpr std::size_t kMaxPeerSockets = 512;

}  // namespace

class ZmqTransport::Private {
 public:
  struct ReceiveSource {
    GSource source;
    Private* owner;
  };

  explicit Private(base::Metrics& metrics)
      : metrics(metrics), context(zmq_ctx_new()) {}

  ~Private() {
    if (this->source != nullptr) {
      g_source_destroy(this->source);
      g_source_unref(this->source);
    }
    for (auto& [address, socket] : this->outgoing) zmq_close(socket);
    if (this->incoming != nullptr) zmq_close(this->incoming);
    zmq_ctx_term(this->context);
  }

  // Returns whether to dispatch without waiting for the descriptor. The
  // descriptor is edge-triggered: once it is readable, all queued messages must
  // be received, which can take several dispatches.
  static gboolean Prepare(GSource* source, gint* timeout) {
    *timeout = -1;
    return reinterpret_cast<ReceiveSource*>(source)->owner->input_pending;
  }

  static gboolean Check(GSource* source) {
    const Private* owner = reinterpret_cast<ReceiveSource*>(source)->owner;
    return owner->input_pending ||
           g_source_query_unix_fd(source, owner->descriptor_tag) != 0;
  }

  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer) {
    reinterpret_cast<ReceiveSource*>(source)->owner->ReceiveBatch();
    return G_SOURCE_CONTINUE;
  }

  void Attach() {
    static GSourceFuncs functions = {Prepare, Check,   Dispatch,
                                     nullptr, nullptr, nullptr};
    this->source = g_source_new(&functions, sizeof(ReceiveSource));
    reinterpret_cast<ReceiveSource*>(this->source)->owner = this;
    int descriptor = -1;
    std::size_t size = sizeof(descriptor);
    zmq_getsockopt(this->incoming, ZMQ_FD, &descriptor, &size);
    this->descriptor_tag =
        g_source_add_unix_fd(this->source, descriptor, G_IO_IN);
    g_source_attach(this->source, nullptr);
  }

  void ReceiveBatch() {
    for (int i = 0; i < kMaxMessagesPerDispatch; ++i) {
      zmq_msg_t message;
      zmq_msg_init(&message);
      const int size = zmq_msg_recv(&message, this->incoming, ZMQ_DONTWAIT);
      if (size >= 0) this->Deliver(message);
      zmq_msg_close(&message);
      this->input_pending = size >= 0;
      if (size < 0) return;
    }
  }

  void Deliver(zmq_msg_t& message) {
    wire::Envelope envelope;
    const auto size = static_cast<int>(zmq_msg_size(&message));
    if (!envelope.ParseFromArray(zmq_msg_data(&message), size)) {
      this->metrics.Count("peer.unreadable");
      return;
    }
    if (this->receiver) this->receiver(envelope);
  }

  void* SocketTo(const std::string& address) {
    const auto found = this->outgoing.find(address);
    if (found != this->outgoing.end()) return found->second;
    if (this->outgoing.size() >= kMaxPeerSockets) {
      zmq_close(this->outgoing.begin()->second);
      this->outgoing.erase(this->outgoing.begin());
    }
    void* socket = zmq_socket(this->context, ZMQ_PUSH);
    SetOptions(socket);
    SetHeartbeats(socket);
    const std::string uri = "tcp://" + address;
    if (zmq_connect(socket, uri.c_str()) != 0) {
      zmq_close(socket);
      return nullptr;
    }
    this->outgoing[address] = socket;
    return socket;
  }

  static void SetOptions(void* socket) {
    zmq_setsockopt(socket, ZMQ_SNDHWM, &kMaxQueuedMessages, sizeof(int));
    zmq_setsockopt(socket, ZMQ_RCVHWM, &kMaxQueuedMessages, sizeof(int));
    zmq_setsockopt(socket, ZMQ_LINGER, &kLingerMs, sizeof(int));
    zmq_setsockopt(socket, ZMQ_RECONNECT_IVL, &kReconnectIntervalMs,
                   sizeof(int));
    zmq_setsockopt(socket, ZMQ_RECONNECT_IVL_MAX, &kMaxReconnectIntervalMs,
                   sizeof(int));
    zmq_setsockopt(socket, ZMQ_CONNECT_TIMEOUT, &kConnectTimeoutMs,
                   sizeof(int));
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &kMaxMessageBytes,
                   sizeof(std::int64_t));
  }

  static void SetHeartbeats(void* socket) {
    zmq_setsockopt(socket, ZMQ_HEARTBEAT_IVL, &kHeartbeatMs, sizeof(int));
    zmq_setsockopt(socket, ZMQ_HEARTBEAT_TIMEOUT, &kHeartbeatTimeoutMs,
                   sizeof(int));
    zmq_setsockopt(socket, ZMQ_HEARTBEAT_TTL, &kHeartbeatTtlMs, sizeof(int));
  }

  base::Metrics& metrics;
  void* context;
  void* incoming = nullptr;
  GSource* source = nullptr;
  gpointer descriptor_tag = nullptr;
  /// Whether messages may be queued although the descriptor signals none. True
  /// at first, because the descriptor does not signal messages that arrived
  /// before it was watched.
  bool input_pending = true;
  std::map<std::string, void*> outgoing;
  std::function<void(const wire::Envelope&)> receiver;
};

ZmqTransport::ZmqTransport(base::Metrics& metrics)
    : d(std::make_unique<Private>(metrics)) {}

ZmqTransport::~ZmqTransport() = default;

base::Result<std::string> ZmqTransport::Bind(const std::string& address) {
  const auto parsed = base::ParseAddress(address);
  if (!parsed) {
    return Error(ErrorKind::kInvalidSettings,
                 "'" + address + "' is not IP:port");
  }
  this->d->incoming = zmq_socket(this->d->context, ZMQ_PULL);
  Private::SetOptions(this->d->incoming);
  const std::string uri =
      "tcp://" + (parsed->port == 0 ? parsed->ip + ":*" : address);
  if (zmq_bind(this->d->incoming, uri.c_str()) != 0) {
    return Error(ErrorKind::kInvalidSettings,
                 address + ": " + zmq_strerror(zmq_errno()));
  }
  std::array<char, 256> bound{};
  std::size_t size = bound.size();
  zmq_getsockopt(this->d->incoming, ZMQ_LAST_ENDPOINT, bound.data(), &size);
  this->d->Attach();
  const std::string text(bound.data());
  return text.substr(text.find("//") + 2);
}

bool ZmqTransport::Send(const std::string& address,
                        const wire::Envelope& envelope) {
  void* socket = this->d->SocketTo(address);
  if (socket == nullptr) return false;
  const std::string bytes = envelope.SerializeAsString();
  return zmq_send(socket, bytes.data(), bytes.size(), ZMQ_DONTWAIT) >= 0;
}

void ZmqTransport::SetReceiver(
    std::function<void(const wire::Envelope&)> receiver) {
  this->d->receiver = std::move(receiver);
}

}  // namespace hawthornwheel::peers
