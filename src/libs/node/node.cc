#include "node/node.h"

#include <fmt/format.h>

#include <random>
#include <utility>

#include "admin/admin_front.h"
#include "admin/state_dump.h"
#include "base/address.h"
#include "base/glib_clock.h"
#include "base/logger.h"
#include "base/metrics.h"
#include "callers/caller_front.h"
#include "control_log/http_control_client.h"
#include "dispatch/dispatcher.h"
#include "dispatch/drain_controller.h"
#include "endpoints/http_endpoint_client.h"
#include "peers/zmq_transport.h"

namespace hawthornwheel::node {
namespace {

constexpr base::Logger kLog("node");

// Returns an id for a new incarnation of the process. It ends with random
// digits, because each start is a new incarnation.
std::string NewIncarnation(const std::string& name) {
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  return fmt::format("{}-{:08x}{:08x}", name, high, low);
}

// Returns `address` with its port replaced by `port`.
std::string WithPort(const std::string& address, std::uint16_t port) {
  return fmt::format("{}:{}", base::ParseAddress(address)->ip, port);
}

}  // namespace

class Node::Private {
 public:
  Private(NodeSettings settings, std::function<void()> on_stopped)
      : settings(std::move(settings)),
        on_stopped(std::move(on_stopped)),
        platform(this->settings.platform_address,
                 this->settings.platform_timeout),
        transport(this->metrics),
        endpoints(this->metrics) {}

  NodeSettings settings;
  std::function<void()> on_stopped;
  base::GlibClock clock;
  base::Metrics metrics;
  control_log::HttpControlClient platform;
  peers::ZmqTransport transport;
  endpoints::HttpEndpointClient endpoints;
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  std::unique_ptr<callers::CallerFront> callers;
  std::unique_ptr<admin::AdminFront> admin;
};

Node::Node(NodeSettings settings, std::function<void()> on_stopped)
    : d(std::make_unique<Private>(std::move(settings), std::move(on_stopped))) {
}

Node::~Node() = default;

base::Result<bool> Node::Start() {
  wire::MemberAnnounce self;
  self.set_incarnation(NewIncarnation(this->d->settings.name));
  self.set_domain(this->d->settings.domain);
  self.set_weight(this->d->settings.weight);
  const auto peer = this->d->transport.Bind(this->d->settings.peer_address);
  if (!peer) return peer.GetError();
  self.set_peer_address(*peer);
  const dispatch::DispatcherDependencies dependencies{
      this->d->clock,     this->d->platform,  this->d->platform,
      this->d->transport, this->d->endpoints, this->d->metrics};
  this->d->dispatcher = std::make_unique<dispatch::Dispatcher>(
      dependencies, self, this->d->settings.fleet, this->d->settings.dispatch);
  this->d->callers = std::make_unique<callers::CallerFront>(
      this->d->clock, this->d->dispatcher->Jobs(), this->d->metrics,
      this->d->settings.callers);
  const auto caller_port = this->d->callers->Listen();
  if (!caller_port) return caller_port.GetError();
  this->d->admin = std::make_unique<admin::AdminFront>(
      *this->d->dispatcher, this->d->metrics, this->d->settings.admin,
      [this] { this->Stop(); });
  const auto admin_port = this->d->admin->Listen();
  if (!admin_port) return admin_port.GetError();
  self.set_caller_address(
      WithPort(this->d->settings.callers.address, *caller_port));
  self.set_admin_address(
      WithPort(this->d->settings.admin.address, *admin_port));
  this->d->dispatcher->SetAddresses(self.caller_address(),
                                    self.admin_address());
  this->d->dispatcher->Start();
  kLog.Info("Started. incarnation={} domain={} callers={} admin={} peers={}",
            self.incarnation(), self.domain(), self.caller_address(),
            self.admin_address(), self.peer_address());
  return true;
}

void Node::Stop() {
  dispatch::DrainController& drain = this->d->dispatcher->GetDrain();
  if (drain.IsDraining()) {
    drain.CancelOpenJobs();
    return;
  }
  drain.Begin(this->d->on_stopped);
}

std::string Node::CallerAddress() const {
  return this->d->dispatcher->GetFleetBoard().self.caller_address();
}

std::string Node::AdminAddress() const {
  return this->d->dispatcher->GetFleetBoard().self.admin_address();
}

std::string Node::Dump() const {
  return admin::DumpState(*this->d->dispatcher, this->d->metrics);
}

}  // namespace hawthornwheel::node
