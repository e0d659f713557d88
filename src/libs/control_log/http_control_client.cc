#include "control_log/http_control_client.h"

#include <fmt/format.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <utility>

namespace hawthornwheel::control_log {
namespace {

using base::Error;
using base::ErrorKind;

constexpr guint kConnectionsPerHost = 4;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

using BodyHandler = std::function<void(base::Result<std::string>)>;

struct Call {
  SoupMessage* message;
  BodyHandler done;
  /// False after the client was destroyed; `done` must not be called then.
  std::shared_ptr<bool> client_alive;
};

void FinishCall(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<Call> call(static_cast<Call*>(data));
  GError* error = nullptr;
  GBytes* bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
  const guint status = soup_message_get_status(call->message);
  g_object_unref(call->message);
  if (!*call->client_alive) {
    if (bytes != nullptr) g_bytes_unref(bytes);
    g_clear_error(&error);
    return;
  }
  if (bytes == nullptr) {
    const std::string detail = error->message;
    g_error_free(error);
    call->done(Error(ErrorKind::kLogUnavailable, detail));
    return;
  }
  gsize size = 0;
  const auto* content =
      static_cast<const char*>(g_bytes_get_data(bytes, &size));
  std::string body(content == nullptr ? "" : content, size);
  g_bytes_unref(bytes);
  if (status != SOUP_STATUS_OK) {
    call->done(
        Error(ErrorKind::kLogUnavailable,
              fmt::format("the platform returned HTTP status {}", status)));
    return;
  }
  call->done(std::move(body));
}

template <typename Message>
std::function<void(base::Result<std::string>)> ParseThen(
    std::function<void(base::Result<Message>)> done) {
  return [done = std::move(done)](base::Result<std::string> body) {
    if (!body) return done(body.GetError());
    Message message;
    if (!message.ParseFromString(*body)) {
      return done(Error(ErrorKind::kLogUnavailable,
                        "the platform's response body cannot be parsed"));
    }
    done(std::move(message));
  };
}

}  // namespace

class HttpControlClient::Private {
 public:
  void Send(const char* method, const std::string& path, std::string body,
            BodyHandler done) {
    const std::string uri = fmt::format("http://{}{}", this->address, path);
    SoupMessage* message = soup_message_new(method, uri.c_str());
    if (!body.empty()) {
      GBytes* bytes = g_bytes_new(body.data(), body.size());
      soup_message_set_request_body_from_bytes(message,
                                               "application/x-protobuf", bytes);
      g_bytes_unref(bytes);
    }
    soup_session_send_and_read_async(
        this->session, message, G_PRIORITY_DEFAULT, this->cancellable,
        FinishCall, new Call{message, std::move(done), this->client_alive});
  }

  std::string address;
  SoupSession* session = nullptr;
  GCancellable* cancellable = nullptr;
  std::shared_ptr<bool> client_alive = std::make_shared<bool>(true);
};

HttpControlClient::HttpControlClient(std::string address,
                                     base::Duration timeout)
    : d(std::make_unique<Private>()) {
  this->d->address = std::move(address);
  const auto seconds = static_cast<guint>(
      std::max<std::int64_t>(1, timeout.count() / kMicrosecondsPerSecond));
  this->d->session = soup_session_new_with_options(
      "max-conns-per-host", kConnectionsPerHost, "timeout", seconds,
      "proxy-resolver", nullptr, nullptr);
  this->d->cancellable = g_cancellable_new();
}

HttpControlClient::~HttpControlClient() {
  *this->d->client_alive = false;
  soup_session_abort(this->d->session);
  g_object_unref(this->d->session);
  g_object_unref(this->d->cancellable);
}

void HttpControlClient::Append(
    const wire::LogRecord& record,
    std::function<void(base::Result<std::uint64_t>)> done) {
  this->d->Send(
      "POST", "/log/records", record.SerializeAsString(),
      ParseThen<wire::AppendAnswer>(
          [done = std::move(done)](base::Result<wire::AppendAnswer> answer) {
            if (!answer) return done(answer.GetError());
            done(answer->offset());
          }));
}

void HttpControlClient::Read(std::uint64_t offset,
                             std::function<void(base::Result<LogBatch>)> done) {
  this->d->Send("GET", fmt::format("/log/records?from={}", offset), "",
                ParseThen<LogBatch>(std::move(done)));
}

void HttpControlClient::Fetch(
    std::uint64_t known_version,
    std::function<void(base::Result<wire::VmList>)> done) {
  this->d->Send("GET", fmt::format("/vms?known={}", known_version), "",
                ParseThen<wire::VmList>(std::move(done)));
}

}  // namespace hawthornwheel::control_log
