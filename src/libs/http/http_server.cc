#include "http/http_server.h"

#include <libsoup/soup.h>

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "base/address.h"
#include "http/close_watcher.h"
#include "http/connection_guard.h"
#include "http/event_context.h"
#include "http/peer_state.h"

namespace hawthornwheel::http {
namespace {

using base::Error;
using base::ErrorKind;

// Holds the libsoup message of a request until it has been answered. Keeps the
// message alive even if the client closes the connection.
class Exchange {
 public:
  Exchange(SoupServerMessage* message,
           std::shared_ptr<std::size_t> open_requests,
           std::shared_ptr<EventContext> context,
           std::shared_ptr<CloseWatcher> watcher)
      : message(message),
        open_requests(std::move(open_requests)),
        context(std::move(context)),
        watcher(std::move(watcher)) {
    g_object_ref(message);
    ++*this->open_requests;
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() {
    this->StopWatching();
    --*this->open_requests;
    g_object_unref(this->message);
  }

  void Respond(const HttpReply& reply) {
    if (this->answered || this->finished) return;
    this->answered = true;
    this->StopWatching();
    const EventContext::Scope scope(*this->context);
    SoupMessageHeaders* headers =
        soup_server_message_get_response_headers(this->message);
    for (const auto& [name, value] : reply.headers) {
      soup_message_headers_replace(headers, name.c_str(), value.c_str());
    }
    soup_server_message_set_status(this->message,
                                   static_cast<guint>(reply.status), nullptr);
    soup_server_message_set_response(this->message, reply.content_type.c_str(),
                                     SOUP_MEMORY_COPY, reply.body.data(),
                                     reply.body.size());
    if (this->paused) soup_server_message_unpause(this->message);
  }

  void PauseUntilAnswered() {
    if (this->answered) return;
    this->paused = true;
    soup_server_message_pause(this->message);
  }

  void MarkFinished() {
    this->finished = true;
    this->StopWatching();
  }

  // Calls `callback` if the client closes the connection.
  void Watch(std::function<void()> callback) {
    if (this->answered || this->finished) return;
    GSocket* socket = soup_server_message_get_socket(this->message);
    if (socket == nullptr) return;
    this->StopWatching();
    this->watched = G_SOCKET(g_object_ref(socket));
    this->watcher->Watch(socket, std::move(callback));
  }

 private:
  void StopWatching() {
    if (this->watched == nullptr) return;
    this->watcher->Stop(this->watched);
    g_object_unref(this->watched);
    this->watched = nullptr;
  }

  SoupServerMessage* message;
  std::shared_ptr<std::size_t> open_requests;
  bool answered = false;
  bool paused = false;
  bool finished = false;
  std::shared_ptr<EventContext> context;
  std::shared_ptr<CloseWatcher> watcher;
  /// Socket that is watched; null for none.
  GSocket* watched = nullptr;
};

using ExchangePointer = std::shared_ptr<Exchange>;

// The message owns the pointer and the exchange owns a reference to the
// message, so the handler is removed to free both.
void OnFinished(SoupServerMessage* message, gpointer data) {
  (*static_cast<ExchangePointer*>(data))->MarkFinished();
  g_signal_handlers_disconnect_by_func(
      message, reinterpret_cast<gpointer>(&OnFinished), data);
}

void DeleteExchange(gpointer data, GClosure*) {
  delete static_cast<ExchangePointer*>(data);
}

void CopyQuery(gpointer key, gpointer value, gpointer data) {
  auto* query = static_cast<std::map<std::string, std::string>*>(data);
  (*query)[static_cast<const char*>(key)] = static_cast<const char*>(value);
}

void CopyHeader(const char* name, const char* value, gpointer data) {
  auto* headers = static_cast<std::map<std::string, std::string>*>(data);
  (*headers)[absl::AsciiStrToLower(name)] = value;
}

HttpRequest ReadRequest(SoupServerMessage* message, const char* path,
                        GHashTable* query) {
  HttpRequest request;
  request.method = soup_server_message_get_method(message);
  request.path = path;
  if (query != nullptr) {
    g_hash_table_foreach(query, CopyQuery, &request.query);
  }
  soup_message_headers_foreach(soup_server_message_get_request_headers(message),
                               CopyHeader, &request.headers);
  const SoupMessageBody* body = soup_server_message_get_request_body(message);
  if (body != nullptr && body->data != nullptr) {
    request.body.assign(body->data, static_cast<std::size_t>(body->length));
  }
  return request;
}

// Returns the answer to a client that has closed the connection.
HttpReply UnreadReply() {
  HttpReply reply;
  reply.status = SOUP_STATUS_SERVICE_UNAVAILABLE;
  return reply;
}

}  // namespace

class HttpServer::Private {
 public:
  static void OnHeaders(SoupServer*, SoupServerMessage* message, const char*,
                        GHashTable*, gpointer data) {
    const auto* self = static_cast<Private*>(data);
    SoupMessageHeaders* headers =
        soup_server_message_get_request_headers(message);
    const auto length = static_cast<std::size_t>(
        soup_message_headers_get_content_length(headers));
    const bool chunked =
        soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED;
    if (length <= self->max_body_bytes && !chunked) return;
    soup_server_message_set_status(
        message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
    soup_server_message_set_response(
        message, "application/json", SOUP_MEMORY_COPY,
        self->too_large_body.data(), self->too_large_body.size());
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Connection",
        "close");
  }

  static void OnRequest(SoupServer*, SoupServerMessage* message,
                        const char* path, GHashTable* query, gpointer data) {
    auto* self = static_cast<Private*>(data);
    // Does not handle a request whose client has closed the connection. After a
    // pause, a process may receive requests whose clients have timed out and
    // may have resent them to another process.
    GSocket* socket = soup_server_message_get_socket(message);
    if (socket != nullptr &&
        PeerStateOf(g_socket_get_fd(socket)) == PeerState::kClosed) {
      soup_server_message_set_status(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                                     nullptr);
      return;
    }
    const auto exchange = std::make_shared<Exchange>(
        message, self->open_requests, self->context, self->watcher);
    g_signal_connect_data(message, "finished", G_CALLBACK(OnFinished),
                          new ExchangePointer(exchange), DeleteExchange,
                          GConnectFlags{});
    HttpRequest request = ReadRequest(message, path, query);
    const std::weak_ptr<Exchange> weak = exchange;
    request.watch_connection = [weak](std::function<void()> on_closed) {
      const auto locked = weak.lock();
      if (locked == nullptr) return;
      locked->Watch([weak, on_closed = std::move(on_closed)] {
        on_closed();
        // libsoup does not read from the connection while the message is
        // paused, so only an attempt to answer ends the request.
        if (const auto left = weak.lock()) left->Respond(UnreadReply());
      });
    };
    {
      const EventContext::MainLoopScope scope;
      self->handler(request, [exchange](const HttpReply& reply) {
        exchange->Respond(reply);
      });
    }
    exchange->PauseUntilAnswered();
  }

  std::size_t max_body_bytes = 0;
  std::string too_large_body;
  Handler handler;
  SoupServer* server = nullptr;
  std::unique_ptr<ConnectionGuard> guard;
  std::shared_ptr<EventContext> context = EventContext::Shared();
  std::shared_ptr<CloseWatcher> watcher = std::make_shared<CloseWatcher>();
  std::shared_ptr<std::size_t> open_requests = std::make_shared<std::size_t>(0);
};

HttpServer::HttpServer(std::size_t max_body_bytes, std::string too_large_body,
                       Handler handler)
    : d(std::make_unique<Private>()) {
  this->d->max_body_bytes = max_body_bytes;
  this->d->too_large_body = std::move(too_large_body);
  this->d->handler = std::move(handler);
  this->d->server = soup_server_new("server-header", "hawthornwheel", nullptr);
  soup_server_add_early_handler(this->d->server, nullptr, Private::OnHeaders,
                                this->d.get(), nullptr);
  soup_server_add_handler(this->d->server, nullptr, Private::OnRequest,
                          this->d.get(), nullptr);
}

HttpServer::~HttpServer() {
  const EventContext::Scope scope(*this->d->context);
  this->d->guard.reset();
  soup_server_disconnect(this->d->server);
  g_object_unref(this->d->server);
}

void HttpServer::LimitConnections(base::Clock& clock,
                                  const ConnectionLimits& limits) {
  this->d->guard =
      std::make_unique<ConnectionGuard>(clock, limits, this->d->server);
}

base::Result<std::uint16_t> HttpServer::Listen(const std::string& address) {
  const auto parsed = base::ParseAddress(address);
  if (!parsed) {
    return Error(ErrorKind::kInvalidSettings,
                 "'" + address + "' is not IP:port");
  }
  const EventContext::Scope scope(*this->d->context);
  GSocketAddress* socket_address =
      g_inet_socket_address_new_from_string(parsed->ip.c_str(), parsed->port);
  GError* error = nullptr;
  const bool listening =
      soup_server_listen(this->d->server, socket_address,
                         static_cast<SoupServerListenOptions>(0), &error);
  g_object_unref(socket_address);
  if (!listening) {
    const std::string detail = error->message;
    g_error_free(error);
    return Error(ErrorKind::kInvalidSettings, address + ": " + detail);
  }
  GSList* uris = soup_server_get_uris(this->d->server);
  const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return static_cast<std::uint16_t>(port);
}

void HttpServer::StopListening() {
  GSList* listeners = soup_server_get_listeners(this->d->server);
  for (GSList* item = listeners; item != nullptr; item = item->next) {
    g_socket_close(static_cast<GSocket*>(item->data), nullptr);
  }
  g_slist_free(listeners);
}

void HttpServer::Disconnect() {
  const EventContext::Scope scope(*this->d->context);
  soup_server_disconnect(this->d->server);
}

bool HttpServer::HasUnreadRequests() const {
  if (this->d->guard != nullptr && this->d->guard->HasUnreadBytes())
    return true;
  GSList* listeners = soup_server_get_listeners(this->d->server);
  bool has_connections = false;
  for (GSList* item = listeners; item != nullptr; item = item->next) {
    auto* listener = static_cast<GSocket*>(item->data);
    has_connections =
        has_connections || (!g_socket_is_closed(listener) &&
                            g_socket_condition_check(listener, G_IO_IN) != 0);
  }
  g_slist_free(listeners);
  return has_connections;
}

std::size_t HttpServer::OpenRequests() const { return *this->d->open_requests; }

std::size_t HttpServer::ConnectionCount() const {
  return this->d->guard == nullptr ? 0 : this->d->guard->ConnectionCount();
}

}  // namespace hawthornwheel::http
