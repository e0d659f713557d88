#include "standins/endpoint_server.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "absl/strings/str_split.h"

namespace hawthornwheel::standins {
namespace {

using http::HttpReply;
using http::HttpRequest;
using http::HttpServer;

constexpr std::size_t kMaxBodyBytes = 16 << 20;
constexpr int kHttpTaskFailed = 422;
constexpr int kHttpUnavailable = 503;
constexpr char kAttemptHeader[] = "hawthornwheel-attempt";
constexpr char kTaskHeader[] = "hawthornwheel-task";
constexpr char kLeaseHeader[] = "hawthornwheel-lease-ms";

// Parses `key=value` pairs that are separated by semicolons.
std::map<std::string, std::string> ReadPayload(const std::string& payload) {
  std::map<std::string, std::string> values;
  for (const absl::string_view part : absl::StrSplit(payload, ';')) {
    const std::vector<std::string> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (pair.size() == 2) values[pair[0]] = pair[1];
  }
  return values;
}

HttpReply ReplyFor(const std::string& attempt, int status, std::string body) {
  HttpReply reply;
  reply.status = status;
  reply.content_type = "application/octet-stream";
  reply.headers["Hawthornwheel-Attempt"] = attempt;
  reply.body = std::move(body);
  return reply;
}

}  // namespace

std::uint64_t EndpointCounts::Duplicates() const {
  return static_cast<std::uint64_t>(
      std::count_if(this->starts.begin(), this->starts.end(),
                    [](const auto& entry) { return entry.second > 1; }));
}

EndpointServer::EndpointServer(base::Clock& clock, EndpointCounts& counts,
                               double slowness)
    : clock(clock),
      counts(counts),
      slowness(slowness),
      server(kMaxBodyBytes, "",
             [this](const HttpRequest& request,
                    const HttpServer::Responder& respond) {
               this->Handle(request, respond);
             }) {}

base::Result<std::uint16_t> EndpointServer::Listen(const std::string& address) {
  return this->server.Listen(address);
}

void EndpointServer::Handle(const HttpRequest& request,
                            const HttpServer::Responder& respond) {
  if (request.path == "/tasks") {
    this->StartTask(request, respond);
    return;
  }
  if (request.path == "/tasks/stop") this->StopTasks(request.body);
  if (request.path == "/tasks/renew") this->RenewTasks(request);
  respond({});
}

void EndpointServer::StartTask(const HttpRequest& request,
                               const HttpServer::Responder& respond) {
  const std::string attempt = request.Header(kAttemptHeader);
  auto values = ReadPayload(request.body);
  if (this->leaving || values.contains("refuse")) {
    HttpReply reply = ReplyFor(attempt, kHttpUnavailable, "refused");
    if (this->leaving) reply.headers["Hawthornwheel-Leaving"] = "true";
    respond(std::move(reply));
    return;
  }
  ++this->counts.starts[request.Header(kTaskHeader)];
  if (this->failing || values.contains("fail")) {
    respond(ReplyFor(attempt, kHttpTaskFailed, "failed"));
    return;
  }
  Run& run = this->running[attempt];
  run.respond = respond;
  this->counts.max_running =
      std::max(this->counts.max_running, this->Running());
  this->SetLease(attempt, run, std::stoll(request.Header(kLeaseHeader)));
  if (values.contains("hang")) return;
  const std::string answered_attempt =
      values.contains("cross") ? "other" : attempt;
  const double run_ms =
      values.contains("run") ? std::stod(values["run"]) * this->slowness : 0;
  const base::Duration run_time(
      static_cast<base::Duration::rep>(run_ms * 1000));
  run.end_timer = this->clock.StartTimer(
      run_time,
      [this, attempt, reply = ReplyFor(answered_attempt, 200, values["say"])] {
        ++this->counts.completed;
        this->EndTask(attempt, reply);
      });
}

void EndpointServer::EndTask(const std::string& attempt, HttpReply reply) {
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) return;
  const HttpServer::Responder respond = std::move(found->second.respond);
  this->clock.CancelTimer(found->second.end_timer);
  this->clock.CancelTimer(found->second.lease_timer);
  this->running.erase(found);
  respond(std::move(reply));
}

void EndpointServer::StopTasks(const std::string& body) {
  ++this->counts.stops;
  for (const absl::string_view id : absl::StrSplit(body, '\n')) {
    if (!this->running.contains(std::string(id))) continue;
    ++this->counts.stopped;
    this->EndTask(std::string(id),
                  ReplyFor(std::string(id), kHttpTaskFailed, "stopped"));
  }
}

void EndpointServer::RenewTasks(const HttpRequest& request) {
  ++this->counts.renewals;
  for (const absl::string_view id : absl::StrSplit(request.body, '\n')) {
    const auto found = this->running.find(std::string(id));
    if (found == this->running.end()) continue;
    this->SetLease(found->first, found->second,
                   std::stoll(request.Header(kLeaseHeader)));
  }
}

void EndpointServer::SetLease(const std::string& attempt, Run& run,
                              std::int64_t lease_ms) {
  this->clock.CancelTimer(run.lease_timer);
  run.lease_timer = this->clock.StartTimer(
      std::chrono::milliseconds(lease_ms), [this, attempt] {
        ++this->counts.expired;
        this->EndTask(attempt, ReplyFor(attempt, kHttpTaskFailed, "lapsed"));
      });
}

}  // namespace hawthornwheel::standins
