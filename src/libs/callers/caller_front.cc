#include "callers/caller_front.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "absl/strings/numbers.h"
#include "base/metrics.h"
#include "base/settings_reader.h"
#include "dispatch/failure.h"
#include "dispatch/job_service.h"
#include "wire/json.h"

namespace hawthornwheel::callers {
namespace {

using base::Error;
using base::ErrorKind;
using http::HttpReply;
using http::HttpRequest;
using http::HttpServer;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kJobPathPrefix = "/v1/jobs/";
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpUnavailable = 503;
// Range of the setting `max_body_bytes`.
constexpr std::int64_t kMinBodyBytes = 1024;
constexpr std::int64_t kMaxBodyBytes = 256 << 20;

// Returns the answer as JSON with the HTTP status of its state or failure.
HttpReply ReplyOf(const wire::JobAnswer& answer) {
  HttpReply reply;
  reply.body = wire::ToJson(answer);
  if (answer.state() == wire::PENDING) reply.status = kHttpAccepted;
  if (answer.state() != wire::FAILED) return reply;
  const auto kind = base::FindErrorKind(answer.failure().kind());
  reply.status =
      base::DescribeError(kind.value_or(ErrorKind::kInternal)).http_status;
  if (answer.failure().retry_after_ms() > 0) {
    constexpr std::uint32_t kMillisecondsPerSecond = 1000;
    const std::uint32_t seconds =
        (answer.failure().retry_after_ms() + kMillisecondsPerSecond - 1) /
        kMillisecondsPerSecond;
    reply.headers["Retry-After"] = fmt::format("{}", seconds);
  }
  return reply;
}

HttpReply FailureReply(const Error& error) {
  return ReplyOf(dispatch::MakeFailedAnswer("", error, false));
}

}  // namespace

CallerSettings CallerSettings::Read(base::SettingsReader& reader) {
  CallerSettings settings;
  settings.address =
      reader.Address("callers", "address", base::Presence::kRequired, true);
  settings.max_body_bytes = static_cast<std::size_t>(
      reader.Integer("callers", "max_body_bytes",
                     static_cast<std::int64_t>(settings.max_body_bytes),
                     kMinBodyBytes, kMaxBodyBytes));
  settings.max_wait = reader.Time("callers", "max_wait", settings.max_wait,
                                  milliseconds(100), minutes(10));
  settings.connections = http::ConnectionLimits::Read(reader, "callers");
  return settings;
}

CallerFront::CallerFront(base::Clock& clock, dispatch::JobService& jobs,
                         base::Metrics& metrics, const CallerSettings& settings)
    : jobs(jobs),
      metrics(metrics),
      settings(settings),
      server(settings.max_body_bytes,
             FailureReply(Error(ErrorKind::kTooLarge,
                                fmt::format("must have at most {} bytes and a "
                                            "Content-Length header",
                                            settings.max_body_bytes),
                                "body"))
                 .body,
             [this](const HttpRequest& request,
                    const HttpServer::Responder& respond) {
               this->Handle(request, respond);
             }) {
  this->server.LimitConnections(clock, settings.connections);
}

base::Result<std::uint16_t> CallerFront::Listen() {
  return this->server.Listen(this->settings.address);
}

void CallerFront::Handle(const HttpRequest& request,
                         const HttpServer::Responder& respond) {
  this->metrics.Count("callers.requests");
  if (request.path == "/live") {
    respond({kHttpOk, "text/plain", "live\n", {}});
    return;
  }
  if (request.path == "/ready") {
    const bool ready = this->jobs.IsReady();
    respond({ready ? kHttpOk : kHttpUnavailable,
             "text/plain",
             ready ? "ready\n" : "not ready\n",
             {}});
    return;
  }
  if (request.path == "/v1/prefix" && request.method == "GET") {
    wire::PrefixAnswer answer;
    answer.set_prefix(this->jobs.CurrentPrefix());
    respond({kHttpOk, "application/json", wire::ToJson(answer), {}});
    return;
  }
  if (request.path == kJobsPath && request.method == "POST") {
    this->HandleSubmit(request, respond);
    return;
  }
  if (request.path.starts_with(kJobPathPrefix)) {
    this->HandleJob(request, request.path.substr(kJobPathPrefix.size()),
                    respond);
    return;
  }
  respond(FailureReply(Error(ErrorKind::kNotFound, "", "path")));
}

void CallerFront::HandleSubmit(const HttpRequest& request,
                               const HttpServer::Responder& respond) {
  const auto wait = this->ParseWaitTime(request);
  if (!wait) {
    respond(FailureReply(wait.GetError()));
    return;
  }
  wire::SubmitRequest submit;
  const auto parsed = wire::FromJson(request.body, submit);
  if (!parsed) {
    respond(FailureReply(parsed.GetError()));
    return;
  }
  this->jobs.Submit(submit, *wait, [respond](const wire::JobAnswer& answer) {
    respond(ReplyOf(answer));
  });
}

void CallerFront::HandleJob(const HttpRequest& request, const std::string& key,
                            const HttpServer::Responder& respond) {
  const auto answer = [respond](const wire::JobAnswer& job) {
    respond(ReplyOf(job));
  };
  if (request.method == "DELETE") {
    this->jobs.Cancel(key, answer);
    return;
  }
  const auto wait = this->ParseWaitTime(request);
  if (!wait) {
    respond(FailureReply(wait.GetError()));
    return;
  }
  if (request.method == "GET") {
    this->jobs.Query(key, *wait, answer);
    return;
  }
  respond(FailureReply(Error(ErrorKind::kNotFound, "", "method")));
}

base::Result<base::Duration> CallerFront::ParseWaitTime(
    const HttpRequest& request) const {
  const std::string text = request.Query("wait_ms");
  if (text.empty()) return this->settings.max_wait;
  std::uint32_t wait_ms = 0;
  if (!absl::SimpleAtoi(text, &wait_ms)) {
    return Error(ErrorKind::kInvalidRequest,
                 "must be a whole number of milliseconds", "wait_ms");
  }
  return std::min<base::Duration>(milliseconds(wait_ms),
                                  this->settings.max_wait);
}

}  // namespace hawthornwheel::callers
