#include "support/http_call.h"

#include <libsoup/soup.h>

#include "support/loop.h"

namespace hawthornwheel::testing {
namespace {

struct Pending {
  bool done = false;
  GBytes* bytes = nullptr;
};

void OnDone(GObject* source, GAsyncResult* result, gpointer data) {
  auto* pending = static_cast<Pending*>(data);
  pending->bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr);
  pending->done = true;
}

}  // namespace

http::HttpReply Call(const std::string& method, const std::string& address,
                     const std::string& target, const std::string& body,
                     const std::string& token) {
  SoupSession* session =
      soup_session_new_with_options("proxy-resolver", nullptr, nullptr);
  const std::string uri = "http://" + address + target;
  SoupMessage* message = soup_message_new(method.c_str(), uri.c_str());
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
  Pending pending;
  soup_session_send_and_read_async(session, message, G_PRIORITY_DEFAULT,
                                   nullptr, OnDone, &pending);
  RunLoopUntil([&pending] { return pending.done; });
  http::HttpReply reply;
  reply.status = 0;
  if (pending.bytes != nullptr) {
    reply.status = static_cast<int>(soup_message_get_status(message));
    gsize size = 0;
    const auto* data =
        static_cast<const char*>(g_bytes_get_data(pending.bytes, &size));
    reply.body.assign(data == nullptr ? "" : data, size);
    const char* retry = soup_message_headers_get_one(
        soup_message_get_response_headers(message), "Retry-After");
    if (retry != nullptr) reply.headers["Retry-After"] = retry;
    g_bytes_unref(pending.bytes);
  }
  g_object_unref(message);
  g_object_unref(session);
  return reply;
}

}  // namespace hawthornwheel::testing
