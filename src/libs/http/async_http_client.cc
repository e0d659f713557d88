#include "http/async_http_client.h"

#include <libsoup/soup.h>

namespace hawthornwheel::http {
namespace {

using base::Error;
using base::ErrorKind;

constexpr guint kMostConnections = 4096;
// Longer than any pause between calls to a server in use.
constexpr guint kIdleConnectionSeconds = 60;

void CopyHeader(const char* name, const char* value, gpointer data) {
  auto* headers = static_cast<std::map<std::string, std::string>*>(data);
  gchar* lower = g_ascii_strdown(name, -1);
  (*headers)[lower] = value;
  g_free(lower);
}

}  // namespace

class AsyncHttpClient::Private {
 public:
  /// One call on the wire.
  struct Exchange {
    Private* owner = nullptr;
    SoupMessage* message = nullptr;
    GCancellable* cancellable = nullptr;
    Handler done;
    base::TimerId timer = 0;
    bool timed_out = false;
    std::shared_ptr<bool> alive;
  };

  Private(base::Clock& clock, unsigned connections)
      : clock(clock),
        session(soup_session_new_with_options(
            "max-conns", kMostConnections, "max-conns-per-host", connections,
            "idle-timeout", kIdleConnectionSeconds, "timeout", 0U,
            "proxy-resolver", nullptr, nullptr)) {}

  static void OnSent(GObject*, GAsyncResult* result, gpointer data) {
    auto* exchange = static_cast<Exchange*>(data);
    GError* error = nullptr;
    GBytes* bytes = soup_session_send_and_read_finish(
        exchange->alive && *exchange->alive
            ? exchange->owner->session
            : SOUP_SESSION(g_async_result_get_source_object(result)),
        result, &error);
    if (*exchange->alive) Deliver(exchange, bytes, error);
    if (bytes != nullptr) g_bytes_unref(bytes);
    g_clear_error(&error);
    g_object_unref(exchange->message);
    g_object_unref(exchange->cancellable);
    delete exchange;
  }

  static void Deliver(Exchange* exchange, GBytes* bytes, const GError* error) {
    exchange->owner->clock.CancelTimer(exchange->timer);
    if (bytes == nullptr) {
      const std::string cause = exchange->timed_out ? "timed out"
                                : error != nullptr  ? error->message
                                                    : "no answer";
      exchange->done(Error(ErrorKind::kOutcomeUnknown, cause));
      return;
    }
    HttpReply reply;
    reply.status = static_cast<int>(soup_message_get_status(exchange->message));
    gsize size = 0;
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    if (text != nullptr) reply.body.assign(text, size);
    soup_message_headers_foreach(
        soup_message_get_response_headers(exchange->message), CopyHeader,
        &reply.headers);
    exchange->done(std::move(reply));
  }

  base::Clock& clock;
  SoupSession* session;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

AsyncHttpClient::AsyncHttpClient(base::Clock& clock, unsigned connections)
    : d(std::make_unique<Private>(clock, connections)) {}

AsyncHttpClient::~AsyncHttpClient() {
  *this->d->alive = false;
  soup_session_abort(this->d->session);
  g_object_unref(this->d->session);
}

void AsyncHttpClient::Send(const HttpCall& call, Handler done) {
  const std::string uri = "http://" + call.address + call.target;
  auto* exchange = new Private::Exchange;
  exchange->owner = this->d.get();
  exchange->message = soup_message_new(call.method.c_str(), uri.c_str());
  exchange->cancellable = g_cancellable_new();
  exchange->done = std::move(done);
  exchange->alive = this->d->alive;
  // Marked idempotent, the library keeps the connection of a POST.
  soup_message_add_flags(exchange->message, SOUP_MESSAGE_IDEMPOTENT);
  soup_message_add_flags(exchange->message, SOUP_MESSAGE_NO_REDIRECT);
  SoupMessageHeaders* headers =
      soup_message_get_request_headers(exchange->message);
  for (const auto& [name, value] : call.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  if (call.method == "POST") {
    GBytes* bytes = g_bytes_new(call.body.data(), call.body.size());
    soup_message_set_request_body_from_bytes(
        exchange->message,
        call.content_type.empty() ? nullptr : call.content_type.c_str(), bytes);
    g_bytes_unref(bytes);
  }
  exchange->timer = this->d->clock.StartTimer(call.timeout, [exchange] {
    exchange->timer = 0;
    exchange->timed_out = true;
    g_cancellable_cancel(exchange->cancellable);
  });
  soup_session_send_and_read_async(this->d->session, exchange->message,
                                   G_PRIORITY_DEFAULT, exchange->cancellable,
                                   Private::OnSent, exchange);
}

}  // namespace hawthornwheel::http
