#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "catalog/catalog_controller.h"
#include "cluster/cluster_controller.h"
#include "jobs/fleet_placer.h"
#include "jobs/job_coordinator.h"
#include "jobs/job_relay.h"
#include "runs/endpoint_pool.h"
#include "runs/remote_runs.h"
#include "runs/run_settings.h"
#include "support/fake_transport.h"
#include "support/keyed_store_client.h"
#include "support/leased_orders.h"
#include "support/plain_decoder.h"
#include "support/process_clock.h"

namespace hawthornwheel::testing {

/// Runs one process on the users' platform. Its components are connected as in
/// hawthornwheeld, but use fakes instead of sockets.
class HostedProcess {
 public:
  HostedProcess(base::Clock& shared_clock, FakeNetwork& network,
                KeyedStore& store, LeasedEndpoints& endpoints,
                const std::string& name, const std::string& domain,
                const std::string& incarnation, std::uint32_t weight);

  std::string name;
  std::string domain;
  ProcessClock clock;
  base::Metrics metrics;
  runs::RunSettings settings;
  jobs::JobSettings job_settings;
  KeyedStoreClient store;
  LeasedOrders orders;
  PlainDecoder decoder;
  FakeTransport transport;
  catalog::CatalogController catalog;
  cluster::ClusterController cluster;
  runs::EndpointPool pool;
  runs::RemoteRuns remote;
  jobs::FleetPlacer placer;
  jobs::JobCoordinator jobs;
  jobs::JobRelay relay;
};

}  // namespace hawthornwheel::testing
