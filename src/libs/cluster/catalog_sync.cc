#include "cluster/catalog_sync.h"

#include <chrono>
#include <limits>
#include <utility>
#include <vector>

#include "catalog/catalog_controller.h"

namespace hawthornwheel::cluster {
namespace {

using std::chrono::milliseconds;

// Minimum interval between two requests. Without it, every heartbeat would
// trigger a request for the same records.
constexpr base::Duration kMinRequestInterval = milliseconds(150);
// Minimum interval between two requests to the same member. It is longer than
// the interval between heartbeats, so that a member whose answers are lost does
// not receive all requests while another one could answer.
constexpr base::Duration kMinRepeatInterval = milliseconds(350);
// Offset in a request for the configuration only.
constexpr std::uint64_t kNoEndpoints =
    std::numeric_limits<std::uint64_t>::max();

}  // namespace

CatalogSync::CatalogSync(base::Clock& clock,
                         catalog::CatalogController& catalog, Sender send)
    : clock(clock),
      catalog(catalog),
      send(std::move(send)),
      last_request(clock.Now()) {}

void CatalogSync::RequestIfNewer(const ClusterBoard::Member& member,
                                 bool wants_endpoints) {
  const catalog::Catalog& known = this->catalog.GetCatalog();
  const bool newer_config = member.last.config_version() > known.Version();
  const bool newer_endpoints =
      wants_endpoints && !this->catalog.FollowsEndpoints() &&
      member.last.endpoints_offset() > known.endpoints_offset;
  const std::uint64_t reported = member.last.evacuations_revision();
  this->catalog.SupersedeEvacuations(reported);
  const bool newer_evacuations = reported > known.evacuations.KnownOffset();
  if (!newer_config && !newer_endpoints && !newer_evacuations) return;
  const std::string& address = member.announce.peer_address();
  const base::TimePoint now = this->clock.Now();
  const base::Duration min_interval = address == this->last_requested
                                          ? kMinRepeatInterval
                                          : kMinRequestInterval;
  if (now - this->last_request < min_interval) return;
  this->last_request = now;
  this->last_requested = address;
  wire::Envelope envelope;
  envelope.mutable_catalog_request()->set_config_version(known.Version());
  envelope.mutable_catalog_request()->set_evacuations_revision(
      known.evacuations.KnownOffset());
  envelope.mutable_catalog_request()->set_endpoints_offset(
      newer_endpoints ? known.endpoints_offset : kNoEndpoints);
  this->send(address, std::move(envelope));
}

void CatalogSync::Answer(const wire::Envelope& envelope) {
  const wire::CatalogRequest& request = envelope.catalog_request();
  const catalog::Catalog& known = this->catalog.GetCatalog();
  wire::Envelope answer;
  wire::CatalogUpdate& update = *answer.mutable_catalog_update();
  if (known.Version() > request.config_version()) {
    update.set_config(known.configuration_bytes);
  }
  if (known.evacuations.Revision() > request.evacuations_revision()) {
    update.set_evacuations_revision(known.evacuations.Revision());
    for (const std::string& domain : known.evacuations.Domains()) {
      update.add_evacuated_domains(domain);
    }
  }
  if (known.endpoints_offset > request.endpoints_offset()) {
    update.set_endpoints_offset(known.endpoints_offset);
    for (const auto& [id, endpoint] : known.endpoints) {
      if (endpoint.record.offset < request.endpoints_offset()) continue;
      wire::CatalogRecord& record = *update.add_endpoints();
      record.set_key(id);
      record.set_value(endpoint.record.value);
      record.set_offset(endpoint.record.offset);
    }
  }
  this->send(envelope.sender_address(), std::move(answer));
}

void CatalogSync::Apply(const wire::Envelope& envelope) {
  const wire::CatalogUpdate& update = envelope.catalog_update();
  // The evacuations come first, so that no task starts in an evacuated domain
  // under the configuration of the same update. A configuration without them
  // means that the sender has seen none that are unknown here.
  if (!update.config().empty() || update.evacuations_revision() != 0) {
    this->catalog.ApplyEvacuations(
        {update.evacuated_domains().begin(), update.evacuated_domains().end()},
        update.evacuations_revision(), envelope.sender_address());
  }
  if (!update.config().empty()) {
    this->catalog.ApplyConfiguration(update.config(),
                                     envelope.sender_address());
  }
  if (update.endpoints_offset() == 0) return;
  std::vector<catalog::StoreRecord> records;
  for (const wire::CatalogRecord& record : update.endpoints()) {
    records.push_back({record.key(), record.value(), record.offset()});
  }
  this->catalog.ApplyEndpoints(records, update.endpoints_offset());
}

}  // namespace hawthornwheel::cluster
