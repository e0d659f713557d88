#pragma once

#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "soak/soak_member.h"
#include "soak/soak_options.h"
#include "soak/socket_set.h"
#include "standins/hosted_endpoint_server.h"
#include "standins/hosted_store_server.h"
#include "support/keyed_store.h"
#include "support/leased_endpoints.h"
#include "support/random.h"

namespace hawthornwheel::soak {

/// Holds the real dispatchers of a soak run as child processes, stand-ins for
/// the store and the endpoints, and the proxies on the connections between
/// them.
class SoakEnvironment {
 public:
  /// Starts all processes and publishes the first configuration. `clock` must
  /// outlive the environment.
  SoakEnvironment(base::Clock& clock, const SoakOptions& options);
  ~SoakEnvironment();

  /// Starts or restarts a member's process.
  void Launch(SoakMember& member);

  /// Publishes the next configuration, which drops the version-specific route
  /// of the previous one.
  void PublishConfiguration();

  /// Returns the path prefix that only the newest configuration has.
  std::string NewestPrefix() const;
  /// Returns the path prefix of the previous version, which the newest
  /// configuration does not have.
  std::string DroppedPrefix() const;

  /// Writes the endpoint's catalog entry to the store.
  void WriteEndpointEntry(std::size_t endpoint, bool draining);

  /// Writes the member's settings file; a running process reads it on SIGHUP or
  /// within a second.
  void WriteSettings(const SoakMember& member) const;

  /// Ends all runs of an endpoint and restarts it as a new incarnation.
  void RestartEndpoint(std::size_t endpoint);

  /// One endpoint stand-in, served through a proxy.
  struct Endpoint {
    Endpoint(base::Clock& clock, SocketSet& sockets) : proxy(clock, sockets) {}
    std::string id;
    std::string domain;
    std::string address;
    TcpProxy proxy;
    std::unique_ptr<testing::HostedEndpointServer> server;
  };

  base::Clock& clock;
  SoakOptions options;
  testing::Random random;
  SocketSet sockets;
  testing::KeyedStore store;
  testing::HostedStoreServer store_server;
  testing::LeasedEndpoints leased_endpoints;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<SoakMember>> members;

 private:
  void AddEndpoint(int index);
  void AddMember(int index, double cpu_share);

  std::string store_address;
  /// What the endpoints have carried out.
  std::ofstream order_log;
  /// Host of the next member's peer proxy.
  std::shared_ptr<ProxyHost> proxy_host;
  int version = 0;
};

}  // namespace hawthornwheel::soak
