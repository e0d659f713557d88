#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "catalog/catalog.h"
#include "catalog/record_decoder.h"
#include "catalog/topic_follower.h"

namespace hawthornwheel::catalog {

/// Keeps the Catalog: follows configuration and endpoints in the store, and
/// takes records that peers hand on. The version never goes back.
class CatalogController {
 public:
  /// References must outlive the controller.
  CatalogController(MetadataStore& store, const RecordDecoder& decoder,
                    base::Clock& clock);

  void Start();

  /// Whether to read the endpoints in the store; entries have no use for them.
  void FollowEndpoints(bool follow);

  const Catalog& Board() const { return this->catalog; }

  /// Whether the endpoint topic is followed in the store at present.
  bool FollowsEndpoints() const {
    return this->endpoint_follower.IsConnected();
  }

  /// Called after each change of configuration or endpoints.
  void SetListener(std::function<void()> listener);

  /// Takes a configuration as the platform encodes it, from the store or from
  /// a peer; one that is not newer has no effect.
  void ApplyConfiguration(const std::string& bytes, const std::string& source);

  /// Takes endpoint records that a peer read up to `next_offset`.
  void ApplyEndpoints(const std::vector<StoreRecord>& records,
                      std::uint64_t next_offset);

 private:
  void ReceiveConfiguration(const std::vector<StoreRecord>& records);
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
