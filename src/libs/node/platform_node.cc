#include "node/platform_node.h"

#include <fmt/format.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admin/metrics_front.h"
#include "base/address.h"
#include "base/glib_clock.h"
#include "base/logger.h"
#include "base/metrics.h"
#include "catalog/catalog_controller.h"
#include "cluster/cluster_controller.h"
#include "http/http_server.h"
#include "jobs/fleet_placer.h"
#include "jobs/job_coordinator.h"
#include "jobs/job_relay.h"
#include "node/drain.h"
#include "node/drainable.h"
#include "peers/zmq_transport.h"
#include "platform/job_front.h"
#include "platform/json_record_decoder.h"
#include "platform/order_client.h"
#include "platform/store_client.h"
#include "runs/endpoint_pool.h"
#include "runs/remote_runs.h"

namespace hawthornwheel::node {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("node");

// Whether the settings file has faults that its last reload found.
constexpr char kRefusedMetric[] = "settings.refused";

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

// Returns the announcement of this process to its peers.
wire::MemberAnnounce AnnounceOf(const PlatformNodeSettings& settings) {
  wire::MemberAnnounce self;
  self.set_incarnation(NewIncarnation(settings.name));
  self.set_domain(settings.domain);
  self.set_weight(settings.weight);
  self.set_peer_address(settings.advertised_address);
  return self;
}

}  // namespace

class PlatformNode::Private final : public Drainable {
 public:
  Private(PlatformNodeSettings settings, std::function<void()> on_stopped)
      : settings(std::move(settings)),
        transport(this->metrics),
        store(this->clock, this->settings.store_address),
        orders(this->clock),
        catalog(this->store, this->decoder, this->clock),
        cluster({this->clock, this->store, this->catalog, this->transport,
                 this->metrics},
                AnnounceOf(this->settings), this->settings.seeds),
        pool({this->clock, this->orders, this->metrics, this->settings.runs,
              this->catalog, this->cluster}),
        remote(this->clock, this->metrics, this->cluster, this->pool),
        placer(this->cluster, this->pool, this->remote, this->catalog),
        jobs(this->clock, this->metrics, this->catalog, this->placer,
             this->settings.jobs),
        relay({this->clock, this->metrics, this->catalog, this->cluster,
               this->jobs}),
        front(this->relay, this->metrics,
              {[this] { return this->IsReady(); },
               [this] { return this->cluster.Board().leaving; }}),
        drain(this->clock, *this, this->settings.drain_time,
              std::move(on_stopped)) {}

  // Returns whether the balancer may send callers to this process.
  bool IsReady() const {
    return this->catalog.GetCatalog().configuration != nullptr &&
           !this->cluster.Board().leaving && this->cluster.IsMembershipKnown();
  }

  // Registers the receiver of peer messages, and the listeners that pass state
  // changes of one part to the parts that depend on it.
  void RegisterListeners() {
    this->transport.SetReceiver([this](const wire::Envelope& envelope) {
      if (this->cluster.Receive(envelope)) return;
      if (this->remote.Receive(envelope)) return;
      if (this->relay.Receive(envelope)) return;
      this->metrics.Count("peer.unknown_message");
    });
    this->catalog.SetListener([this] { this->pool.Reconcile(); });
    this->cluster.SetMembersListener([this] {
      this->remote.CheckMembers();
      this->relay.CheckMembers();
      this->pool.Reconcile();
    });
    this->cluster.SetCapacityListener(
        [this] { this->jobs.SchedulePlacement(); });
    this->cluster.SetJobsInProgress(
        [this] { return this->jobs.JobsInProgress(); });
    this->cluster.SetOpenWorkPeers([this] {
      std::set<std::string> peers = this->remote.PeersWithRuns();
      peers.merge(this->relay.PeersWithJobs());
      return peers;
    });
    this->pool.SetListener([this] { this->jobs.SchedulePlacement(); });
  }

  std::size_t OpenJobs() const override {
    return this->jobs.OpenJobs() + this->relay.ForwardedJobCount();
  }

  bool HostsTasks() const override {
    return this->remote.HostedTaskCount() > 0;
  }

  bool HasOpenRequests() const override {
    return this->front.HasOpenRequests();
  }

  void EndNewJobsBy(base::TimePoint time) override {
    this->jobs.EndNewJobsBy(time);
  }

  void RejectNewJobs() override { this->jobs.RejectNewJobs(); }

  void InterruptJobs() override {
    this->relay.InterruptAll();
    this->jobs.InterruptAll();
    // Reports the runs that are being stopped, since copies of their jobs may
    // arrive when this process has ended.
    this->cluster.SendHeartbeats();
  }

  void Disconnect() override { this->front.Disconnect(); }

  PlatformNodeSettings settings;
  base::GlibClock clock;
  base::Metrics metrics;
  peers::ZmqTransport transport;
  platform::StoreClient store;
  platform::OrderClient orders;
  platform::JsonRecordDecoder decoder;
  catalog::CatalogController catalog;
  cluster::ClusterController cluster;
  runs::EndpointPool pool;
  runs::RemoteRuns remote;
  jobs::FleetPlacer placer;
  jobs::JobCoordinator jobs;
  jobs::JobRelay relay;
  platform::JobFront front;
  /// `IP:port` for callers, with the port that is bound.
  std::string caller_address;
  std::unique_ptr<admin::MetricsFront> metrics_front;
  Drain drain;
  /// Faults of the settings file at its last reload; empty if it was applied.
  std::vector<std::string> refused_settings;
};

PlatformNode::PlatformNode(PlatformNodeSettings settings,
                           std::function<void()> on_stopped)
    : d(std::make_unique<Private>(std::move(settings), std::move(on_stopped))) {
}

PlatformNode::~PlatformNode() = default;

base::Result<bool> PlatformNode::Start() {
  this->d->clock.SetWallOffset(this->d->settings.wall_clock_offset);
  const auto peers = this->d->transport.Bind(this->d->settings.peer_address);
  if (!peers) return peers.GetError();
  this->d->RegisterListeners();
  this->d->front.LimitConnections(this->d->clock,
                                  this->d->settings.caller_connections);
  const auto front_ports = this->d->front.Listen(
      this->d->settings.caller_address, this->d->settings.ready_address);
  if (!front_ports) return front_ports.GetError();
  this->d->caller_address =
      WithPort(this->d->settings.caller_address, front_ports->callers);
  if (!this->d->settings.metrics_address.empty()) {
    this->d->metrics_front = std::make_unique<admin::MetricsFront>(
        this->d->metrics, [this] { return this->Dump(); });
    this->d->metrics_front->LimitConnections(this->d->clock);
    const auto metrics =
        this->d->metrics_front->Listen(this->d->settings.metrics_address);
    if (!metrics) return metrics.GetError();
  }
  this->d->catalog.Start();
  this->d->cluster.Start();
  this->d->pool.Start();
  kLog.Info("Started. incarnation={} domain={} callers={} peers={} store={}",
            this->d->cluster.Board().self.incarnation(),
            this->d->settings.domain, this->d->settings.caller_address,
            this->d->settings.peer_address, this->d->settings.store_address);
  return true;
}

void PlatformNode::Reload(const PlatformNodeSettings& settings) {
  PlatformNodeSettings& current = this->d->settings;
  this->d->refused_settings.clear();
  this->d->metrics.Set(kRefusedMetric, 0);
  if (settings.AddressesDifferFrom(current)) {
    kLog.Warning("Changed addresses take effect at the next start.");
  }
  current.drain_time = settings.drain_time;
  this->d->drain.SetTime(settings.drain_time);
  current.runs = settings.runs;
  current.jobs = settings.jobs;
  current.weight = settings.weight;
  current.store_address = settings.store_address;
  this->d->store.SetAddress(settings.store_address);
  this->d->cluster.SetWeight(settings.weight);
  this->d->clock.SetWallOffset(settings.wall_clock_offset);
  kLog.Info("Settings are reloaded. weight={} drain_ms={} store={}",
            settings.weight, settings.drain_time / milliseconds(1),
            settings.store_address);
}

void PlatformNode::RefuseReload(const std::vector<base::IniFault>& faults) {
  this->d->refused_settings.clear();
  for (const base::IniFault& fault : faults) {
    this->d->refused_settings.push_back(base::FormatFault(fault));
    kLog.Error(
        "Changed settings are invalid; the previous ones stay in force until "
        "the process ends, and it cannot start with these. cause=\"{}\"",
        this->d->refused_settings.back());
  }
  this->d->metrics.Set(kRefusedMetric, 1);
}

void PlatformNode::Stop(base::TimePoint requested_at) {
  if (this->d->drain.HasBegun()) {
    this->d->drain.Hasten();
    return;
  }
  this->d->cluster.Leave();
  this->d->pool.Reconcile();
  this->d->drain.Begin(requested_at);
}

std::string PlatformNode::CallerAddress() const {
  return this->d->caller_address;
}

std::string PlatformNode::Dump() const {
  const catalog::Catalog& catalog = this->d->catalog.GetCatalog();
  const nlohmann::json evacuated = catalog.evacuations.Domains();
  const nlohmann::json refused_settings = this->d->refused_settings;
  std::string text = fmt::format(
      R"({{"incarnation":"{}","refused_settings":{},"version":{},)"
      R"("evacuated":{},)"
      R"("evacuations_revision":{},"endpoints":{},"jobs":{},)"
      R"("jobs_in_progress":{},"jobs_in_progress_elsewhere":{},"sessions":[)",
      this->d->cluster.Board().self.incarnation(),
      refused_settings.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace),
      catalog.Version(), evacuated.dump(), catalog.evacuations.Revision(),
      catalog.endpoints.size(), this->d->jobs.OpenJobs(),
      this->d->jobs.JobsInProgress().to_all.size(),
      this->d->cluster.JobsInProgressElsewhere().size());
  const char* separator = "";
  for (const auto& [id, session] : this->d->pool.Sessions()) {
    const auto next = session->NextFree();
    text += fmt::format(
        R"({}{{"endpoint":"{}","open":{},"runs":{},"free_cpu":{},"pace":{:.2f},"lossy":{},"next_free_ms":{}}})",
        separator, id, session->IsOpen(), session->RunCount(),
        session->Free().cpu_milli, session->Health().Pace(), session->IsLossy(),
        next ? (*next - this->d->clock.Now()) / milliseconds(1) : -1);
    separator = ",";
  }
  text += R"(],"capacity":[)";
  separator = "";
  for (const auto& kind : this->d->jobs.CapacityByKind()) {
    text += fmt::format(
        R"({}{{"service":"{}","kind":"{}","endpoints":{},"free_share":{:.2f},"value":{:.2f}}})",
        separator, kind.service, kind.kind, kind.endpoints, kind.free_share,
        kind.value);
    separator = ",";
  }
  text += R"(],"kinds":)" + this->d->pool.Kinds().Dump() + R"(,"routes":)" +
          this->d->jobs.RunTimes().Dump() + "}";
  return text;
}

}  // namespace hawthornwheel::node
