#include "admin/admin_front.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <utility>

#include "absl/strings/ascii.h"
#include "admin/state_dump.h"
#include "base/error_kind.h"
#include "base/metrics.h"
#include "base/settings_reader.h"

namespace hawthornwheel::admin {
namespace {

using base::ErrorKind;
using http::HttpReply;
using http::HttpRequest;

constexpr std::size_t kMaxBodyBytes = 64 << 10;
// Minimum length of the admin token, in characters.
constexpr std::size_t kMinTokenLength = 8;

HttpReply ErrorReply(ErrorKind kind) {
  const base::ErrorInfo& info = base::DescribeError(kind);
  HttpReply reply;
  reply.status = info.http_status;
  reply.body =
      fmt::format(R"({{"kind":"{}","message":"{}"}})", info.name, info.summary);
  return reply;
}

// Compares tokens of equal length in constant time, so that the duration does
// not reveal the position of the first difference.
bool EqualTokens(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) return false;
  unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

}  // namespace

AdminSettings AdminSettings::Read(base::SettingsReader& reader) {
  AdminSettings settings;
  settings.address =
      reader.Address("admin", "address", base::Presence::kRequired, true);
  const std::string path =
      reader.Text("admin", "token_file", base::Presence::kOptional);
  if (path.empty()) return settings;
  std::ifstream file(path);
  if (!file) {
    reader.AddFault("admin", "token_file", "cannot be read: " + path);
    return settings;
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  settings.token = std::string(absl::StripAsciiWhitespace(text));
  if (settings.token.size() < kMinTokenLength) {
    reader.AddFault("admin", "token_file",
                    "must hold a token of at least 8 characters");
  }
  return settings;
}

AdminFront::AdminFront(const dispatch::Dispatcher& dispatcher,
                       base::Metrics& metrics, const AdminSettings& settings,
                       std::function<void()> drain)
    : dispatcher(dispatcher),
      metrics(metrics),
      settings(settings),
      drain(std::move(drain)),
      server(kMaxBodyBytes, ErrorReply(ErrorKind::kTooLarge).body,
             [this](const HttpRequest& request,
                    const http::HttpServer::Responder& respond) {
               this->Handle(request, respond);
             }) {}

base::Result<std::uint16_t> AdminFront::Listen() {
  return this->server.Listen(this->settings.address);
}

bool AdminFront::IsAuthorized(const HttpRequest& request) const {
  if (this->settings.token.empty()) return true;
  return EqualTokens(request.Header("authorization"),
                     "Bearer " + this->settings.token);
}

void AdminFront::Handle(const HttpRequest& request,
                        const http::HttpServer::Responder& respond) {
  if (!this->IsAuthorized(request)) {
    respond(ErrorReply(ErrorKind::kUnauthorized));
    return;
  }
  HttpReply reply;
  if (request.path == "/dump" && request.method == "GET") {
    reply.body = DumpState(this->dispatcher, this->metrics);
  } else if (request.path == "/metrics" && request.method == "GET") {
    reply.body = DumpMetrics(this->metrics);
  } else if (request.path == "/members" && request.method == "GET") {
    reply.body = DumpMembers(this->dispatcher);
  } else if (request.path == "/drain" && request.method == "POST") {
    this->drain();
    reply.body = R"({"draining":true})";
  } else {
    reply = ErrorReply(ErrorKind::kNotFound);
  }
  respond(std::move(reply));
}

}  // namespace hawthornwheel::admin
