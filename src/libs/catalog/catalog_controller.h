#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/timer.h"
#include "catalog/catalog.h"
#include "catalog/record_decoder.h"
#include "catalog/topic_follower.h"

namespace hawthornwheel::catalog {

/// Maintains the Catalog: follows the configuration and the endpoints in the
/// store, and applies records that peers forward. The version of the
/// configuration never decreases.
class CatalogController {
 public:
  /// References must outlive the controller.
  CatalogController(MetadataStore& store, const RecordDecoder& decoder,
                    base::Clock& clock);

  /// Starts to follow both topics.
  void Start();

  /// Sets whether the endpoints are read from the store; entry processes do
  /// not need them.
  void FollowEndpoints(bool follow);

  /// Returns the catalog; the reference is valid as long as the controller.
  const Catalog& GetCatalog() const { return this->catalog; }

  /// Returns whether the last read of the endpoint topic in the store
  /// succeeded.
  bool FollowsEndpoints() const {
    return this->endpoint_follower.IsConnected();
  }

  /// Sets the callback for changes of the configuration or the endpoints.
  void SetListener(std::function<void()> listener);

  /// Applies a configuration, as the platform encodes it, from the store or
  /// from a peer; `source` is logged. A configuration that is not newer or
  /// cannot be decoded has no effect.
  void ApplyConfiguration(const std::string& bytes, const std::string& source);

  /// Applies the set of evacuated failure domains that a peer announces under
  /// `revision`; `source` is logged. No effect when the configuration topic is
  /// known as far here. Must be called before ApplyConfiguration() of the same
  /// update, so that no task starts in between.
  void ApplyEvacuations(std::set<std::string> domains, std::uint64_t revision,
                        const std::string& source);

  /// Announces a newer revision of the evacuations when this process knows the
  /// topic further than a peer that announces `revision`.
  void SupersedeEvacuations(std::uint64_t revision);

  /// Applies endpoint records that a peer read up to `next_offset`; no effect
  /// when this process has read as far.
  void ApplyEndpoints(const std::vector<StoreRecord>& records,
                      std::uint64_t next_offset);

 private:
  void ReceiveConfiguration(const std::vector<StoreRecord>& records,
                            bool is_snapshot, std::uint64_t next_offset);
  void ReceiveEvacuations(const std::vector<StoreRecord>& records,
                          bool is_snapshot, std::uint64_t next_offset);
  void ReportEvacuations(const std::set<std::string>& before,
                         const std::string& source);
  void ReceiveEndpoints(const std::vector<StoreRecord>& records,
                        bool is_snapshot, std::uint64_t next_offset);
  void ApplyEndpoint(const StoreRecord& record);
  void MarkMissing(Catalog::Endpoint& endpoint);
  void DropMissing();
  void NotifyListener();

  const RecordDecoder& decoder;
  base::Clock& clock;
  Catalog catalog;
  std::function<void()> listener;
  TopicFollower configuration_follower;
  TopicFollower endpoint_follower;
  base::Timer drop_timer;
};

}  // namespace hawthornwheel::catalog
