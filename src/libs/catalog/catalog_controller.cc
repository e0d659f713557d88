#include "catalog/catalog_controller.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "base/excerpt.h"
#include "base/logger.h"

namespace hawthornwheel::catalog {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("catalog");

constexpr char kConfigurationKey[] = "config";

// Time that a read of the configuration waits at the store. It is short enough
// to detect a silent connection well within the two seconds in which a new
// configuration must be in force.
constexpr base::Duration kConfigurationWait = milliseconds(900);
// Pause between two reads of the endpoints. Draining endpoints must be known
// within two seconds.
constexpr base::Duration kEndpointPause = milliseconds(450);
// Time that the store must have been reachable before missing endpoints are
// dropped. Entries that expired while the store was unavailable are back within
// two seconds after it is available again.
constexpr base::Duration kReconnectGrace = milliseconds(2'000);
constexpr base::Duration kDropInterval = milliseconds(250);

}  // namespace

CatalogController::CatalogController(MetadataStore& store,
                                     const RecordDecoder& decoder,
                                     base::Clock& clock)
    : decoder(decoder),
      clock(clock),
      configuration_follower(
          store, clock,
          {Topic::kConfiguration, "configuration", kConfigurationWait, {}},
          [this](const std::vector<StoreRecord>& records, bool is_snapshot,
                 std::uint64_t next_offset) {
            this->ReceiveConfiguration(records, is_snapshot, next_offset);
          }),
      endpoint_follower(
          store, clock, {Topic::kEndpoints, "endpoints", {}, kEndpointPause},
          [this](const std::vector<StoreRecord>& records, bool is_snapshot,
                 std::uint64_t next_offset) {
            this->ReceiveEndpoints(records, is_snapshot, next_offset);
          }),
      drop_timer(clock) {}

void CatalogController::Start() {
  this->configuration_follower.Start();
  this->endpoint_follower.Start();
  this->drop_timer.StartPeriodic(kDropInterval,
                                 [this] { this->DropMissing(); });
}

void CatalogController::FollowEndpoints(bool follow) {
  this->endpoint_follower.SetActive(follow);
}

void CatalogController::SetListener(std::function<void()> new_listener) {
  this->listener = std::move(new_listener);
}

void CatalogController::ReceiveConfiguration(
    const std::vector<StoreRecord>& records, bool is_snapshot,
    std::uint64_t next_offset) {
  // First, so that no task starts in an evacuated domain under a configuration
  // of the same read.
  this->ReceiveEvacuations(records, is_snapshot, next_offset);
  for (const StoreRecord& record : records) {
    if (record.key != kConfigurationKey || record.value.empty()) continue;
    this->ApplyConfiguration(record.value, "store");
  }
}

void CatalogController::ReceiveEvacuations(
    const std::vector<StoreRecord>& records, bool is_snapshot,
    std::uint64_t next_offset) {
  std::vector<Evacuations::Record> found;
  std::set<std::string> listed;
  for (const StoreRecord& record : records) {
    auto domain = this->decoder.DecodeEvacuatedDomain(record.key);
    if (!domain) continue;
    const bool evacuated = !record.value.empty();
    if (evacuated) listed.insert(*domain);
    found.push_back({std::move(*domain), evacuated, record.offset});
  }
  const std::set<std::string> before = this->catalog.evacuations.Domains();
  if (is_snapshot) {
    this->catalog.evacuations.ApplySnapshot(std::move(listed), next_offset);
  } else {
    this->catalog.evacuations.ApplyRecords(found, next_offset);
  }
  this->ReportEvacuations(before, "store");
}

void CatalogController::ApplyEvacuations(std::set<std::string> domains,
                                         std::uint64_t revision,
                                         const std::string& source) {
  const std::set<std::string> before = this->catalog.evacuations.Domains();
  this->catalog.evacuations.ApplyPeer(std::move(domains), revision);
  this->ReportEvacuations(before, source);
}

void CatalogController::SupersedeEvacuations(std::uint64_t revision) {
  this->catalog.evacuations.Supersede(revision);
}

// Logs the differences from the set `before` and notifies the listener of them.
void CatalogController::ReportEvacuations(const std::set<std::string>& before,
                                          const std::string& source) {
  const bool was_known = std::exchange(this->catalog.evacuations_known, true);
  const Evacuations& evacuations = this->catalog.evacuations;
  for (const std::string& domain : evacuations.Domains()) {
    if (before.contains(domain)) continue;
    kLog.Info("Failure domain is evacuated. domain={} revision={} source={}",
              base::Excerpt(domain), evacuations.Revision(), source);
  }
  for (const std::string& domain : before) {
    if (evacuations.Contains(domain)) continue;
    kLog.Info("Failure domain is back in use. domain={} revision={} source={}",
              base::Excerpt(domain), evacuations.Revision(), source);
  }
  if (!was_known || before != evacuations.Domains()) this->NotifyListener();
}

void CatalogController::ApplyConfiguration(const std::string& bytes,
                                           const std::string& source) {
  auto decoded = this->decoder.DecodeConfiguration(bytes);
  if (!decoded) {
    kLog.Error("Configuration cannot be decoded. source={} cause=\"{}\"",
               source, decoded.GetError().detail);
    return;
  }
  if (this->catalog.configuration &&
      decoded->version <= this->catalog.Version()) {
    return;
  }
  kLog.Info(
      "Configuration is in force. version={} before={} routes={} source={}",
      decoded->version, this->catalog.Version(), decoded->routes.size(),
      source);
  this->catalog.configuration =
      std::make_shared<const Configuration>(std::move(decoded).Value());
  this->catalog.configuration_bytes = bytes;
  this->NotifyListener();
}

void CatalogController::ApplyEndpoints(const std::vector<StoreRecord>& records,
                                       std::uint64_t next_offset) {
  if (next_offset <= this->catalog.endpoints_offset) return;
  this->ReceiveEndpoints(records, false, next_offset);
}

void CatalogController::ReceiveEndpoints(
    const std::vector<StoreRecord>& records, bool is_snapshot,
    std::uint64_t next_offset) {
  for (const StoreRecord& record : records) this->ApplyEndpoint(record);
  if (is_snapshot) {
    std::set<std::string> present;
    for (const StoreRecord& record : records) present.insert(record.key);
    for (auto& [id, endpoint] : this->catalog.endpoints) {
      const bool read_later = endpoint.record.offset >= next_offset;
      if (!present.contains(id) && !read_later) this->MarkMissing(endpoint);
    }
  }
  this->catalog.endpoints_offset =
      std::max(this->catalog.endpoints_offset, next_offset);
  if (!records.empty() || is_snapshot) this->NotifyListener();
}

void CatalogController::ApplyEndpoint(const StoreRecord& record) {
  const auto known = this->catalog.endpoints.find(record.key);
  if (known != this->catalog.endpoints.end() &&
      record.offset < known->second.record.offset) {
    return;
  }
  if (record.value.empty()) {
    if (known == this->catalog.endpoints.end()) return;
    known->second.record = record;
    this->MarkMissing(known->second);
    return;
  }
  auto entry = this->decoder.DecodeEndpoint(record.key, record.value);
  if (!entry) {
    kLog.Warning(
        "Endpoint entry is skipped. endpoint={} offset={} cause=\"{}\"",
        base::Excerpt(record.key), record.offset, entry.GetError().detail);
    return;
  }
  Catalog::Endpoint& endpoint = this->catalog.endpoints[record.key];
  if (endpoint.entry.draining != entry->draining) {
    kLog.Info(
        "Endpoint changed its draining state. endpoint={} draining={} "
        "offset={}",
        record.key, entry->draining, record.offset);
  }
  endpoint.entry = std::move(entry).Value();
  endpoint.record = record;
  endpoint.missing = false;
}

void CatalogController::MarkMissing(Catalog::Endpoint& endpoint) {
  if (endpoint.missing) return;
  endpoint.missing = true;
  endpoint.missing_since = this->clock.Now();
}

void CatalogController::DropMissing() {
  const base::TimePoint now = this->clock.Now();
  if (!this->endpoint_follower.IsConnected()) return;
  const bool store_is_stable =
      now - this->endpoint_follower.ConnectionChangedAt() >= kReconnectGrace;
  if (!store_is_stable) return;
  const std::size_t dropped =
      std::erase_if(this->catalog.endpoints, [](const auto& item) {
        if (!item.second.missing) return false;
        kLog.Info("Endpoint is removed. endpoint={} offset={}", item.first,
                  item.second.record.offset);
        return true;
      });
  if (dropped > 0) this->NotifyListener();
}

void CatalogController::NotifyListener() {
  if (this->listener) this->listener();
}

}  // namespace hawthornwheel::catalog
