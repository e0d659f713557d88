#pragma once

#include <memory>
#include <string>
#include <vector>

#include "soak/soak_member.h"
#include "soak/soak_options.h"
#include "standins/hosted_endpoint_server.h"
#include "standins/hosted_store_server.h"
#include "support/keyed_store.h"
#include "support/leased_endpoints.h"
#include "support/random.h"

namespace hawthornwheel::soak {

/// The real dispatchers of a soak as child processes, with stand-ins for the
/// store and the endpoints, and proxies on the ways between them.
class SoakEnvironment {
 public:
  SoakEnvironment(base::Clock& clock, const SoakOptions& options);
  ~SoakEnvironment();

  /// Starts a member's process, or starts it again.
  void Launch(SoakMember& member);

  /// Publishes the next configuration; the route of the one before is dropped.
  void PublishConfiguration();

  /// Path prefix that only the newest configuration has.
  std::string NewestPrefix() const;
  /// Path prefix that only older configurations have.
  std::string DroppedPrefix() const;

  /// Writes the endpoint's entry.
  void WriteEndpointEntry(std::size_t endpoint, bool draining);

  /// Ends what runs at an endpoint, which comes back as a new incarnation.
  void RestartEndpoint(std::size_t endpoint);

  struct Endpoint {
    explicit Endpoint(base::Clock& clock) : proxy(clock) {}
    std::string id;
    std::string domain;
    std::string address;
    TcpProxy proxy;
    std::unique_ptr<testing::HostedEndpointServer> server;
  };

  base::Clock& clock;
  SoakOptions options;
  testing::Random random;
  testing::KeyedStore store;
  testing::HostedStoreServer store_server;
  testing::LeasedEndpoints leased_endpoints;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<SoakMember>> members;

 private:
  void AddEndpoint(int index);
  void AddMember(int index, double cpu_share);
  void WriteSettings(const SoakMember& member) const;

  std::string store_address;
  int version = 0;
};

}  // namespace hawthornwheel::soak
