#include "standins/hosted_endpoint_server.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace hawthornwheel::testing {
namespace {

using http::HttpReply;
using http::HttpRequest;
using http::HttpServer;
using nlohmann::json;
using runs::OrderOutcome;
using std::chrono::milliseconds;

constexpr std::size_t kMaxBodyBytes = 64 << 10;
constexpr int kStatusOk = 200;
constexpr int kStatusInvalid = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusUnavailable = 503;
// Timeout of an order in LeasedEndpoints. Exceeds the timeouts of all senders.
// An order that is not carried out in this time gets no HTTP response.
constexpr base::Duration kOrderTimeout = std::chrono::seconds(5);

// Maps the outcome of an order to its HTTP status and the `reason` on the wire.
struct OutcomeMapping {
  OrderOutcome outcome;
  int status;
  const char* reason;
};

constexpr std::array kOutcomeMappings = {
    OutcomeMapping{OrderOutcome::kAccepted, kStatusOk, ""},
    OutcomeMapping{OrderOutcome::kFenced, kStatusConflict, "fence"},
    OutcomeMapping{OrderOutcome::kStaleRun, kStatusConflict, "old"},
    OutcomeMapping{OrderOutcome::kExpired, kStatusConflict, "late"},
    OutcomeMapping{OrderOutcome::kNoCapacity, kStatusConflict, "room"},
    OutcomeMapping{OrderOutcome::kInvalid, kStatusInvalid, ""},
    OutcomeMapping{OrderOutcome::kWrongInstance, kStatusMisdirected, ""},
    OutcomeMapping{OrderOutcome::kOverloaded, kStatusUnavailable, ""},
};

// Names of run ends on the wire.
constexpr std::array<std::pair<runs::RunEndKind, const char*>, 6> kRunEndNames =
    {{
        {runs::RunEndKind::kDone, "done"},
        {runs::RunEndKind::kFailed, "failed"},
        {runs::RunEndKind::kStopped, "stopped"},
        {runs::RunEndKind::kLeaseExpired, "lapsed"},
        {runs::RunEndKind::kGangMemberEnded, "broken"},
        {runs::RunEndKind::kGangNotAssembled, "alone"},
    }};

const char* NameOf(runs::RunEndKind kind) {
  for (const auto& [known, name] : kRunEndNames) {
    if (known == kind) return name;
  }
  return "broken";
}

void Reply(const runs::OrderReply& order, json body,
           const HttpServer::Responder& respond) {
  for (const OutcomeMapping& mapping : kOutcomeMappings) {
    if (mapping.outcome != order.outcome) continue;
    HttpReply reply;
    reply.status = mapping.status;
    body["clockMs"] = order.clock_ms;
    if (order.incarnation_start_ms != 0) {
      body["born"] = order.incarnation_start_ms;
    }
    if (*mapping.reason != '\0') body["reason"] = mapping.reason;
    reply.body = body.dump();
    respond(reply);
  }
}

}  // namespace

HostedEndpointServer::HostedEndpointServer(LeasedEndpoints& endpoints,
                                           base::Clock& clock, std::string id)
    : endpoints(endpoints),
      clock(clock),
      id(std::move(id)),
      server(kMaxBodyBytes, "{}",
             [this](const HttpRequest& request,
                    const HttpServer::Responder& respond) {
               this->Handle(request, respond);
             }) {}

std::string HostedEndpointServer::Listen() {
  const auto port = this->server.Listen("127.0.0.1:0");
  return fmt::format("127.0.0.1:{}", port ? *port : 0);
}

void HostedEndpointServer::Handle(const HttpRequest& request,
                                  const HttpServer::Responder& respond) {
  const json body = json::parse(request.body, nullptr, false);
  const std::string instance = request.Header("hawthornwheel-expect-instance");
  if (!body.is_object() || instance != this->id) {
    runs::OrderReply refusal;
    refusal.outcome = body.is_object() ? OrderOutcome::kWrongInstance
                                       : OrderOutcome::kInvalid;
    Reply(refusal, json::object(), respond);
    return;
  }
  runs::OrderTarget target{"", instance, body.value("fence", std::uint64_t{0}),
                           kOrderTimeout};
  const auto answer = [respond](const runs::OrderReply& reply) {
    Reply(reply, json::object(), respond);
  };
  if (request.path == "/run-start") {
    runs::StartOrder order;
    order.target = target;
    order.task = body.value("taskId", "");
    order.run = body.value("runId", std::uint64_t{0});
    order.payload = body.value("jobSpec", "");
    order.lease_until_ms = body.value("untilMs", std::int64_t{0});
    this->endpoints.Start("", order, this->clock, answer);
  } else if (request.path == "/run-stop") {
    this->endpoints.Stop("", target, body.value("taskId", ""),
                         body.value("runId", std::uint64_t{0}), this->clock,
                         answer);
  } else {
    runs::PollOrder order;
    order.target = target;
    order.lease_until_ms = body.value("untilMs", std::int64_t{0});
    order.acked_end_seq = body.value("ackedSeq", std::uint64_t{0});
    order.wait = milliseconds(body.value("waitMs", 0));
    this->endpoints.Poll(
        "", order, this->clock, [respond](const runs::PollReply& reply) {
          json lists = {{"running", json::array()},
                        {"endedRuns", json::array()}};
          for (const runs::ActiveRun& row : reply.running) {
            lists["running"].push_back({row.task, row.run, "", row.percent});
          }
          for (const runs::EndedRun& row : reply.ended) {
            lists["endedRuns"].push_back(
                {row.sequence_number, row.task, row.run, NameOf(row.kind), ""});
          }
          Reply(reply.order, lists, respond);
        });
  }
}

}  // namespace hawthornwheel::testing
