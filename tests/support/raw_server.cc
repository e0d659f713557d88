#include "support/raw_server.h"

#include <gio/gio.h>

#include <array>
#include <utility>

namespace hawthornwheel::testing {
namespace {

constexpr char kHeaderEnd[] = "\r\n\r\n";
constexpr char kLengthHeader[] = "Content-Length: ";

// Returns the size in bytes of the first complete request in `text`, or 0.
std::size_t RequestSize(const std::string& text) {
  const std::size_t end = text.find(kHeaderEnd);
  if (end == std::string::npos) return 0;
  std::size_t body = 0;
  const std::size_t length = text.find(kLengthHeader);
  if (length != std::string::npos && length < end) {
    body = std::stoul(text.substr(length + sizeof(kLengthHeader) - 1));
  }
  const std::size_t size = end + sizeof(kHeaderEnd) - 1 + body;
  return text.size() >= size ? size : 0;
}

}  // namespace

class RawServer::Private {
 public:
  struct Connection {
    Private* owner = nullptr;
    GSocketConnection* stream = nullptr;
    std::string text;
    std::array<char, 65536> buffer{};
  };

  static gboolean OnIncoming(GSocketService*, GSocketConnection* stream,
                             GObject*, gpointer data) {
    auto* self = static_cast<Private*>(data);
    ++self->connections;
    auto* connection = new Connection;
    connection->owner = self;
    connection->stream = stream;
    g_object_ref(stream);
    ReadMore(connection);
    return TRUE;
  }

  static void ReadMore(Connection* connection) {
    GInputStream* input =
        g_io_stream_get_input_stream(G_IO_STREAM(connection->stream));
    g_input_stream_read_async(
        input, connection->buffer.data(), connection->buffer.size(),
        G_PRIORITY_DEFAULT, connection->owner->cancellable, OnRead, connection);
  }

  static void OnRead(GObject* source, GAsyncResult* result, gpointer data) {
    auto* connection = static_cast<Connection*>(data);
    const gssize size =
        g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
    if (size <= 0 ||
        !HandleBytes(*connection, static_cast<std::size_t>(size))) {
      g_io_stream_close(G_IO_STREAM(connection->stream), nullptr, nullptr);
      g_object_unref(connection->stream);
      delete connection;
      return;
    }
    ReadMore(connection);
  }

  // Answers each complete request. Returns false when the connection is to be
  // closed.
  static bool HandleBytes(Connection& connection, std::size_t size) {
    connection.text.append(connection.buffer.data(), size);
    while (const std::size_t request = RequestSize(connection.text)) {
      const std::string text = connection.text.substr(0, request);
      connection.text.erase(0, request);
      Private* self = connection.owner;
      const RawResponse response = self->script(text, ++self->requests);
      GOutputStream* output =
          g_io_stream_get_output_stream(G_IO_STREAM(connection.stream));
      g_output_stream_write_all(output, response.bytes.data(),
                                response.bytes.size(), nullptr, nullptr,
                                nullptr);
      if (response.close) return false;
    }
    return true;
  }

  Script script;
  GSocketService* service = nullptr;
  GCancellable* cancellable = nullptr;
  guint16 port = 0;
  int requests = 0;
  int connections = 0;
};

RawServer::RawServer(Script script) : d(std::make_unique<Private>()) {
  this->d->script = std::move(script);
  this->d->cancellable = g_cancellable_new();
  this->d->service = g_socket_service_new();
  this->d->port = g_socket_listener_add_any_inet_port(
      G_SOCKET_LISTENER(this->d->service), nullptr, nullptr);
  g_signal_connect(this->d->service, "incoming",
                   G_CALLBACK(Private::OnIncoming), this->d.get());
  g_socket_service_start(this->d->service);
}

RawServer::~RawServer() {
  g_cancellable_cancel(this->d->cancellable);
  g_socket_service_stop(this->d->service);
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
  g_object_unref(this->d->service);
  g_object_unref(this->d->cancellable);
}

std::string RawServer::Address() const {
  return "127.0.0.1:" + std::to_string(this->d->port);
}

int RawServer::Requests() const { return this->d->requests; }

int RawServer::Connections() const { return this->d->connections; }

}  // namespace hawthornwheel::testing
