#include "endpoints/http_endpoint_client.h"

#include <fmt/format.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

#include "absl/strings/str_join.h"
#include "base/metrics.h"

namespace hawthornwheel::endpoints {
namespace {

using dispatch::AttemptOutcome;
using dispatch::AttemptResult;
using std::chrono::milliseconds;

constexpr guint kMaxConnections = 1U << 16;
// Maximum number of task connections to one endpoint. The dispatcher enforces
// the limits on slots and connections of a service, which are not above this
// one: libsoup must not queue an attempt that the dispatcher already counts as
// started.
constexpr guint kMaxConnectionsPerEndpoint = 4096;
// Time after which an idle connection is closed. It is shorter than the usual
// keep-alive times of servers, so that a request is rarely sent on a connection
// that the endpoint is about to close.
constexpr guint kIdleConnectionSeconds = 4;
constexpr guint kControlTimeoutSeconds = 2;

constexpr char kAttemptHeader[] = "Hawthornwheel-Attempt";
constexpr char kTaskHeader[] = "Hawthornwheel-Task";
constexpr char kServiceHeader[] = "Hawthornwheel-Service";
constexpr char kLeaseHeader[] = "Hawthornwheel-Lease-Ms";
constexpr char kTimeLeftHeader[] = "Hawthornwheel-Time-Left-Ms";
constexpr char kIdempotentHeader[] = "Hawthornwheel-Idempotent";
constexpr char kLeavingHeader[] = "Hawthornwheel-Leaving";

// HTTP status of an endpoint that ran the task and reports its failure.
constexpr guint kStatusTaskFailed = 422;

std::string BodyText(GBytes* bytes) {
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  return {data == nullptr ? "" : data, size};
}

void SetHeader(SoupMessage* message, const char* name,
               const std::string& value) {
  soup_message_headers_replace(soup_message_get_request_headers(message), name,
                               value.c_str());
}

void SetBody(SoupMessage* message, const std::string& body) {
  GBytes* bytes = g_bytes_new(body.data(), body.size());
  soup_message_set_request_body_from_bytes(message, "application/octet-stream",
                                           bytes);
  g_bytes_unref(bytes);
}

}  // namespace

class HttpEndpointClient::Private {
 public:
  /// Holds the HTTP exchange of one attempt.
  struct Exchange {
    Private* owner = nullptr;
    std::string attempt_id;
    SoupMessage* message = nullptr;
    GCancellable* cancellable = nullptr;
    std::function<void(AttemptResult)> done;
    /// Whether libsoup has started to write the request, so that the endpoint
    /// may have received it.
    bool send_started = false;
    /// False once the owner is destroyed.
    std::shared_ptr<bool> client_alive;
  };

  /// Queues the stop requests for one endpoint. One HTTP request at a time is
  /// in flight; it carries all stops that are pending when it is sent.
  struct ControlQueue {
    bool stop_in_flight = false;
    std::vector<std::pair<std::string, std::function<void(bool)>>>
        pending_stops;
  };

  /// Holds the HTTP exchange of one control message.
  struct ControlCall {
    Private* owner = nullptr;
    std::string endpoint;
    SoupMessage* message = nullptr;
    std::function<void(bool)> done;
    /// False once the owner is destroyed.
    std::shared_ptr<bool> client_alive;
  };

  explicit Private(base::Metrics& metrics) : metrics(metrics) {}

  static void OnStarting(SoupMessage*, gpointer data) {
    static_cast<Exchange*>(data)->send_started = true;
  }

  static void OnRestarted(SoupMessage*, gpointer data) {
    auto* exchange = static_cast<Exchange*>(data);
    if (*exchange->client_alive) {
      exchange->owner->metrics.Count("endpoints.resends_prevented");
    }
    g_cancellable_cancel(exchange->cancellable);
  }

  static void OnSent(GObject* source, GAsyncResult* result, gpointer data) {
    std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(data));
    GError* error = nullptr;
    GBytes* bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
    if (*exchange->client_alive) {
      exchange->owner->open_exchanges.erase(exchange->attempt_id);
      if (exchange->done) exchange->done(Interpret(*exchange, bytes, error));
    }
    if (bytes != nullptr) g_bytes_unref(bytes);
    if (error != nullptr) g_error_free(error);
    g_signal_handlers_disconnect_by_data(exchange->message, exchange.get());
    g_object_unref(exchange->message);
    g_object_unref(exchange->cancellable);
  }

  static AttemptResult Interpret(const Exchange& exchange, GBytes* bytes,
                                 const GError* error) {
    if (bytes == nullptr) {
      return {exchange.send_started ? AttemptOutcome::kUnknown
                                    : AttemptOutcome::kNotSent,
              error->message};
    }
    SoupMessageHeaders* headers =
        soup_message_get_response_headers(exchange.message);
    const char* attempt = soup_message_headers_get_one(headers, kAttemptHeader);
    const std::string body = BodyText(bytes);
    if (attempt == nullptr || exchange.attempt_id != attempt) {
      return {AttemptOutcome::kUnknown, "the answer is for another attempt"};
    }
    switch (soup_message_get_status(exchange.message)) {
      case SOUP_STATUS_OK:
        return {AttemptOutcome::kCompleted, body};
      case kStatusTaskFailed:
        return {AttemptOutcome::kFailed, body};
      case SOUP_STATUS_SERVICE_UNAVAILABLE:
        return {soup_message_headers_get_one(headers, kLeavingHeader) != nullptr
                    ? AttemptOutcome::kRefusedLeaving
                    : AttemptOutcome::kRefused,
                body};
      default:
        return {AttemptOutcome::kUnknown,
                fmt::format("the endpoint answered {}",
                            static_cast<int>(
                                soup_message_get_status(exchange.message)))};
    }
  }

  void SendControl(const std::string& endpoint, const char* path,
                   const std::string& body, base::Duration lease,
                   std::function<void(bool)> done) {
    const std::string uri = fmt::format("http://{}{}", endpoint, path);
    SoupMessage* message = soup_message_new("POST", uri.c_str());
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    if (lease.count() > 0) {
      SetHeader(message, kLeaseHeader,
                fmt::format("{}", lease / milliseconds(1)));
    }
    SetBody(message, body);
    this->metrics.Count("endpoints.control_messages");
    auto* call = new ControlCall{this, endpoint, message, std::move(done),
                                 this->client_alive};
    soup_session_send_and_read_async(this->control_session, message,
                                     G_PRIORITY_DEFAULT, nullptr, OnControlSent,
                                     call);
  }

  static void OnControlSent(GObject* source, GAsyncResult* result,
                            gpointer data) {
    std::unique_ptr<ControlCall> call(static_cast<ControlCall*>(data));
    GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                      result, nullptr);
    const bool accepted =
        bytes != nullptr &&
        soup_message_get_status(call->message) == SOUP_STATUS_OK;
    if (bytes != nullptr) g_bytes_unref(bytes);
    g_object_unref(call->message);
    if (*call->client_alive) call->done(accepted);
  }

  void SendStops(const std::string& endpoint) {
    ControlQueue& queue = this->control_queues[endpoint];
    if (queue.stop_in_flight || queue.pending_stops.empty()) return;
    queue.stop_in_flight = true;
    const auto stops = std::move(queue.pending_stops);
    queue.pending_stops.clear();
    std::vector<std::string> ids;
    ids.reserve(stops.size());
    for (const auto& [id, done] : stops) ids.push_back(id);
    this->SendControl(endpoint, "/tasks/stop", absl::StrJoin(ids, "\n"),
                      base::Duration{0},
                      [this, endpoint, stops](bool accepted) {
                        this->control_queues[endpoint].stop_in_flight = false;
                        for (const auto& [id, done] : stops) done(accepted);
                        this->SendStops(endpoint);
                      });
  }

  base::Metrics& metrics;
  SoupSession* session = nullptr;
  /// Session of stops and lease renewals, with one connection per endpoint.
  SoupSession* control_session = nullptr;
  /// Exchanges in flight by attempt id.
  std::unordered_map<std::string, Exchange*> open_exchanges;
  /// Control queues by address of the endpoint.
  std::unordered_map<std::string, ControlQueue> control_queues;
  /// Set to false by the destructor of the client. Callbacks of libsoup share
  /// it and check it before they use the client.
  std::shared_ptr<bool> client_alive = std::make_shared<bool>(true);
};

HttpEndpointClient::HttpEndpointClient(base::Metrics& metrics)
    : d(std::make_unique<Private>(metrics)) {
  this->d->session = soup_session_new_with_options(
      "max-conns", kMaxConnections, "max-conns-per-host",
      kMaxConnectionsPerEndpoint, "idle-timeout", kIdleConnectionSeconds,
      "timeout", 0U, "proxy-resolver", nullptr, nullptr);
  this->d->control_session = soup_session_new_with_options(
      "max-conns", kMaxConnections, "max-conns-per-host", 1U, "idle-timeout",
      kIdleConnectionSeconds, "timeout", kControlTimeoutSeconds,
      "proxy-resolver", nullptr, nullptr);
}

HttpEndpointClient::~HttpEndpointClient() {
  *this->d->client_alive = false;
  soup_session_abort(this->d->session);
  soup_session_abort(this->d->control_session);
  g_object_unref(this->d->session);
  g_object_unref(this->d->control_session);
}

void HttpEndpointClient::Start(const dispatch::TaskCall& call,
                               std::function<void(AttemptResult)> done) {
  const std::string uri = fmt::format("http://{}/tasks", call.endpoint);
  auto* exchange = new Private::Exchange;
  exchange->owner = this->d.get();
  exchange->attempt_id = call.attempt_id;
  exchange->message = soup_message_new("POST", uri.c_str());
  exchange->cancellable = g_cancellable_new();
  exchange->done = std::move(done);
  exchange->client_alive = this->d->client_alive;
  // libsoup reuses a connection for a POST only when the message is marked
  // idempotent. If libsoup resends such a message, as it does for GET and PUT,
  // the handler of `restarted` cancels it.
  soup_message_add_flags(exchange->message, SOUP_MESSAGE_IDEMPOTENT);
  soup_message_add_flags(exchange->message, SOUP_MESSAGE_NO_REDIRECT);
  g_signal_connect(exchange->message, "starting",
                   G_CALLBACK(Private::OnStarting), exchange);
  g_signal_connect(exchange->message, "restarted",
                   G_CALLBACK(Private::OnRestarted), exchange);
  SetHeader(exchange->message, kAttemptHeader, call.attempt_id);
  SetHeader(exchange->message, kTaskHeader, call.task_id);
  SetHeader(exchange->message, kServiceHeader, call.service);
  SetHeader(exchange->message, kLeaseHeader,
            fmt::format("{}", call.lease / milliseconds(1)));
  SetHeader(exchange->message, kTimeLeftHeader,
            fmt::format("{}", call.time_left / milliseconds(1)));
  SetHeader(exchange->message, kIdempotentHeader,
            call.idempotent ? "true" : "false");
  SetBody(exchange->message, call.payload);
  this->d->open_exchanges[call.attempt_id] = exchange;
  this->d->metrics.Count("endpoints.task_messages");
  soup_session_send_and_read_async(this->d->session, exchange->message,
                                   G_PRIORITY_DEFAULT, exchange->cancellable,
                                   Private::OnSent, exchange);
}

void HttpEndpointClient::Stop(const std::string& endpoint,
                              const std::string& attempt_id,
                              std::function<void(bool)> done) {
  const auto found = this->d->open_exchanges.find(attempt_id);
  if (found != this->d->open_exchanges.end()) {
    found->second->done = nullptr;
    g_cancellable_cancel(found->second->cancellable);
  }
  this->d->control_queues[endpoint].pending_stops.emplace_back(attempt_id,
                                                               std::move(done));
  this->d->SendStops(endpoint);
}

void HttpEndpointClient::Renew(const std::string& endpoint,
                               const std::vector<std::string>& attempt_ids,
                               base::Duration lease,
                               std::function<void(bool)> done) {
  this->d->SendControl(endpoint, "/tasks/renew",
                       absl::StrJoin(attempt_ids, "\n"), lease,
                       std::move(done));
}

}  // namespace hawthornwheel::endpoints
