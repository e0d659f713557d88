#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "catalog/configuration.h"
#include "catalog/endpoint_entry.h"
#include "catalog/metadata_store.h"

namespace hawthornwheel::catalog {

/// Blackboard of what the platform publishes. CatalogController writes it.
struct Catalog {
  /// An endpoint with the record that it came from.
  struct Endpoint {
    EndpointEntry entry;
    StoreRecord record;
    /// Set while the entry is deleted but kept for a while, since the store
    /// lets entries lapse while it is away.
    bool missing = false;
    base::TimePoint missing_since;
  };

  /// Null until the first version is known.
  std::shared_ptr<const Configuration> configuration;
  /// As the platform encodes it, for peers.
  std::string configuration_bytes;
  std::map<std::string, Endpoint> endpoints;
  std::uint64_t endpoints_offset = 0;

  std::uint64_t Version() const {
    return this->configuration ? this->configuration->version : 0;
  }
};

}  // namespace hawthornwheel::catalog
