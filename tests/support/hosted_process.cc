#include "support/hosted_process.h"

#include <set>
#include <string>

namespace hawthornwheel::testing {
namespace {

wire::MemberAnnounce AnnounceOf(const std::string& name,
                                const std::string& domain,
                                const std::string& incarnation,
                                std::uint32_t weight) {
  wire::MemberAnnounce self;
  self.set_incarnation(incarnation);
  self.set_domain(domain);
  self.set_peer_address(name);
  self.set_weight(weight);
  return self;
}

}  // namespace

HostedProcess::HostedProcess(base::Clock& shared_clock, FakeNetwork& network,
                             KeyedStore& store, LeasedEndpoints& endpoints,
                             const std::string& name, const std::string& domain,
                             const std::string& incarnation,
                             std::uint32_t weight)
    : name(name),
      domain(domain),
      clock(shared_clock),
      store(store, name, this->clock),
      orders(endpoints, domain, this->clock),
      transport(network, name, domain, this->clock),
      catalog(this->store, this->decoder, this->clock),
      cluster({this->clock, this->store, this->catalog, this->transport,
               this->metrics},
              AnnounceOf(name, domain, incarnation, weight), {}),
      pool({this->clock, this->orders, this->metrics, this->settings,
            this->catalog, this->cluster}),
      remote(this->clock, this->metrics, this->cluster, this->pool),
      placer(this->cluster, this->pool, this->remote, this->catalog),
      jobs(this->clock, this->metrics, this->catalog, this->placer,
           this->job_settings),
      relay({this->clock, this->metrics, this->catalog, this->cluster,
             this->jobs}) {
  this->transport.SetReceiver([this](const wire::Envelope& envelope) {
    if (this->cluster.Receive(envelope)) return;
    if (this->remote.Receive(envelope)) return;
    this->relay.Receive(envelope);
  });
  this->catalog.SetListener([this] { this->pool.Reconcile(); });
  this->cluster.SetMembersListener([this] {
    this->remote.CheckMembers();
    this->relay.CheckMembers();
    this->pool.Reconcile();
  });
  this->cluster.SetCapacityListener([this] { this->jobs.SchedulePlacement(); });
  this->cluster.SetJobsInProgress(
      [this] { return this->jobs.JobsInProgress(); });
  this->cluster.SetOpenWorkPeers([this] {
    std::set<std::string> peers = this->remote.PeersWithRuns();
    peers.merge(this->relay.PeersWithJobs());
    return peers;
  });
  this->pool.SetListener([this] { this->jobs.SchedulePlacement(); });
  this->catalog.Start();
  this->cluster.Start();
  this->pool.Start();
}

}  // namespace hawthornwheel::testing
