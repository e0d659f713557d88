#pragma once

#include <string>

#include "catalog/metadata_store.h"
#include "support/keyed_store.h"
#include "support/process_clock.h"

namespace hawthornwheel::testing {

/// Connects one process of a test to the keyed store.
class KeyedStoreClient final : public catalog::MetadataStore {
 public:
  KeyedStoreClient(KeyedStore& store, std::string name, ProcessClock& clock);

  void ReadNewest(
      catalog::Topic topic, const std::string& after_key,
      std::function<void(base::Result<catalog::StorePage>)> done) override;
  void ReadFrom(
      catalog::Topic topic, std::uint64_t offset, base::Duration wait,
      std::function<void(base::Result<std::vector<catalog::StoreRecord>>)> done)
      override;
  void Append(catalog::Topic topic, const std::string& key,
              const std::string& value,
              std::function<void(base::Result<bool>)> done) override;

 private:
  void RunAfter(base::Duration delay, std::function<void()> callback);

  KeyedStore& store;
  std::string name;
  ProcessClock& clock;
};

}  // namespace hawthornwheel::testing
