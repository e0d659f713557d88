#include "http/http_client.h"

#include <fmt/format.h>
#include <libsoup/soup.h>

#include <algorithm>

namespace hawthornwheel::http {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

}  // namespace

class HttpClient::Private {
 public:
  SoupSession* session = nullptr;
};

HttpClient::HttpClient(base::Duration timeout)
    : d(std::make_unique<Private>()) {
  const auto seconds = static_cast<guint>(
      std::max<std::int64_t>(1, timeout.count() / kMicrosecondsPerSecond));
  this->d->session = soup_session_new_with_options(
      "timeout", seconds, "proxy-resolver", nullptr, nullptr);
}

HttpClient::~HttpClient() { g_object_unref(this->d->session); }

base::Result<HttpReply> HttpClient::Send(const std::string& method,
                                         const std::string& address,
                                         const std::string& target,
                                         const std::string& body,
                                         const std::string& token) {
  const std::string uri = fmt::format("http://{}{}", address, target);
  SoupMessage* message = soup_message_new(method.c_str(), uri.c_str());
  if (message == nullptr) {
    return base::Error(base::ErrorKind::kInvalidRequest,
                       "'" + address + "' is not IP:port");
  }
  if (!body.empty()) {
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
  }
  if (!token.empty()) {
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 "Authorization", ("Bearer " + token).c_str());
  }
  GError* error = nullptr;
  GBytes* bytes =
      soup_session_send_and_read(this->d->session, message, nullptr, &error);
  if (bytes == nullptr) {
    base::Error failure(base::ErrorKind::kInternal,
                        fmt::format("{}: {}", address, error->message));
    g_error_free(error);
    g_object_unref(message);
    return failure;
  }
  HttpReply reply;
  reply.status = static_cast<int>(soup_message_get_status(message));
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  reply.body.assign(data == nullptr ? "" : data, size);
  g_bytes_unref(bytes);
  g_object_unref(message);
  return reply;
}

}  // namespace hawthornwheel::http
