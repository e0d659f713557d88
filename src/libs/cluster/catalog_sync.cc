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
  if (!newer_config && !newer_endpoints) return;
  const base::TimePoint now = this->clock.Now();
  if (now - this->last_request < kMinRequestInterval) return;
  this->last_request = now;
  wire::Envelope envelope;
  envelope.mutable_catalog_request()->set_config_version(known.Version());
  envelope.mutable_catalog_request()->set_endpoints_offset(
      newer_endpoints ? known.endpoints_offset : kNoEndpoints);
  this->send(member.announce.peer_address(), std::move(envelope));
}

void CatalogSync::Answer(const wire::Envelope& envelope) {
  const wire::CatalogRequest& request = envelope.catalog_request();
  const catalog::Catalog& known = this->catalog.GetCatalog();
  wire::Envelope answer;
  wire::CatalogUpdate& update = *answer.mutable_catalog_update();
  if (known.Version() > request.config_version()) {
    update.set_config(known.configuration_bytes);
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
