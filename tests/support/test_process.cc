#include "support/test_process.h"

namespace hawthornwheel::testing {
namespace {

constexpr base::Duration kEndpointLatency{400};

wire::MemberAnnounce Announce(const std::string& incarnation,
                              const std::string& domain,
                              const std::string& address) {
  wire::MemberAnnounce announce;
  announce.set_incarnation(incarnation);
  announce.set_domain(domain);
  announce.set_peer_address(address);
  announce.set_weight(1);
  return announce;
}

}  // namespace

TestProcess::TestProcess(const TestEnvironment& environment,
                         const std::string& incarnation,
                         const std::string& domain, const std::string& address,
                         const fleet::FleetSettings& fleet_settings,
                         const dispatch::DispatchSettings& dispatch_settings)
    : clock(environment.clock),
      incarnation(incarnation),
      domain(domain),
      transport(environment.network, address, domain, this->clock),
      platform(environment.platform, environment.clock, this->clock,
               environment.random, domain),
      endpoints(environment.endpoints, environment.clock, this->clock,
                kEndpointLatency),
      dispatcher({this->clock, this->platform, this->platform, this->transport,
                  this->endpoints, this->metrics},
                 Announce(incarnation, domain, address), fleet_settings,
                 dispatch_settings) {}

}  // namespace hawthornwheel::testing
