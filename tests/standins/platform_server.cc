#include "standins/platform_server.h"

#include <chrono>
#include <utility>

namespace hawthornwheel::standins {
namespace {

using http::HttpReply;
using http::HttpRequest;
using http::HttpServer;

constexpr std::size_t kMaxBodyBytes = 16 << 20;
constexpr int kRecordsPerBatch = 256;
constexpr base::Duration kSlowAnswerDelay = std::chrono::milliseconds(900);
constexpr int kHttpUnavailable = 503;

HttpReply ProtobufReply(const google::protobuf::Message& message) {
  HttpReply reply;
  reply.content_type = "application/x-protobuf";
  reply.body = message.SerializeAsString();
  return reply;
}

HttpReply UnavailableReply() {
  HttpReply reply;
  reply.status = kHttpUnavailable;
  return reply;
}

}  // namespace

PlatformServer::PlatformServer(base::Clock& clock)
    : clock(clock),
      server(kMaxBodyBytes, "",
             [this](const HttpRequest& request,
                    const HttpServer::Responder& respond) {
               this->Handle(request, respond);
             }) {
  this->vms.set_version(1);
}

base::Result<std::uint16_t> PlatformServer::Listen(const std::string& address) {
  return this->server.Listen(address);
}

void PlatformServer::Handle(const HttpRequest& request,
                            const HttpServer::Responder& respond) {
  if (request.path == "/log/records" && request.method == "POST") {
    this->Append(request.body, respond);
    return;
  }
  if (request.path == "/log/records") {
    this->Read(request, respond);
    return;
  }
  if (request.path == "/vms") {
    const bool known =
        request.Query("known") == std::to_string(this->vms.version());
    wire::VmList unchanged;
    unchanged.set_version(this->vms.version());
    respond(this->read_mode == "down"
                ? UnavailableReply()
                : ProtobufReply(known ? unchanged : this->vms));
    return;
  }
  if (request.path == "/fault") {
    this->append_mode = request.Query("append", this->append_mode);
    this->read_mode = request.Query("read", this->read_mode);
  } else if (request.path == "/retention") {
    this->log.SetRetention(std::stoll(request.Query("ms", "3600000")));
  } else if (request.path == "/drop") {
    this->log.DropBelow(std::stoull(request.Query("below", "0")));
  } else if (request.path == "/vm") {
    this->SetVm(request);
  }
  respond({});
}

void PlatformServer::Append(const std::string& data,
                            const HttpServer::Responder& respond) {
  ++this->appends;
  if (this->append_mode == "down") {
    respond(UnavailableReply());
    return;
  }
  // "stuck" accepts the request, appends nothing and answers after 30 s, which
  // is past the timeout of the client.
  if (this->append_mode == "stuck") {
    this->RespondAfter(std::chrono::seconds(30), UnavailableReply(), respond);
    return;
  }
  wire::AppendAnswer answer;
  answer.set_offset(this->log.Append(data, this->clock.WallMilliseconds()));
  if (this->append_mode == "lost") {
    respond(UnavailableReply());
    return;
  }
  const bool slow = this->append_mode == "slow";
  this->RespondAfter(slow ? kSlowAnswerDelay : base::Duration{0},
                     ProtobufReply(answer), respond);
}

void PlatformServer::Read(const HttpRequest& request,
                          const HttpServer::Responder& respond) {
  if (this->read_mode == "down") {
    respond(UnavailableReply());
    return;
  }
  this->log.Expire(this->clock.WallMilliseconds());
  const std::uint64_t from = std::stoull(request.Query("from", "0"));
  const bool slow = this->read_mode == "slow";
  this->RespondAfter(slow ? kSlowAnswerDelay : base::Duration{0},
                     ProtobufReply(this->log.Read(from, kRecordsPerBatch)),
                     respond);
}

void PlatformServer::SetVm(const HttpRequest& request) {
  const std::string address = request.Query("address");
  wire::Vm* vm = nullptr;
  for (wire::Vm& entry : *this->vms.mutable_vms()) {
    if (entry.address() == address) vm = &entry;
  }
  if (vm == nullptr) vm = this->vms.add_vms();
  vm->set_address(address);
  vm->set_domain(request.Query("domain", vm->domain()));
  vm->set_group(request.Query("group", vm->group()));
  vm->set_state(request.Query("state") == "leaving" ? wire::VM_LEAVING
                                                    : wire::VM_LIVE);
  this->vms.set_version(this->vms.version() + 1);
}

void PlatformServer::RespondAfter(base::Duration delay, HttpReply reply,
                                  const HttpServer::Responder& respond) {
  if (delay <= base::Duration{0}) {
    respond(std::move(reply));
    return;
  }
  this->clock.StartTimer(
      delay, [reply = std::move(reply), respond] { respond(reply); });
}

}  // namespace hawthornwheel::standins
