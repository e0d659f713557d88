#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "catalog/configuration.h"
#include "catalog/endpoint_entry.h"
#include "catalog/evacuations.h"
#include "catalog/metadata_store.h"

namespace hawthornwheel::catalog {

/// Holds the configuration and the endpoints that the platform publishes.
/// CatalogController writes it.
struct Catalog {
  /// Holds an endpoint entry and the record that it was read from.
  struct Endpoint {
    EndpointEntry entry;
    StoreRecord record;
    /// Set while the entry is deleted in the store but kept here until the
    /// store has been reachable for a grace period, since the store lets
    /// entries expire while it is unavailable.
    bool missing = false;
    base::TimePoint missing_since;
  };

  /// Null until the first version is known.
  std::shared_ptr<const Configuration> configuration;
  /// The configuration as the platform encodes it, for peers.
  std::string configuration_bytes;
  /// Failure domains in which no task may start.
  Evacuations evacuations;
  /// Whether `evacuations` is known: the configuration topic was read, or a
  /// peer has sent what it knows of it.
  bool evacuations_known = false;
  std::map<std::string, Endpoint> endpoints;
  /// Offset of the next endpoint record to read.
  std::uint64_t endpoints_offset = 0;

  /// Returns the version of the configuration; 0 when none is known.
  std::uint64_t Version() const {
    return this->configuration ? this->configuration->version : 0;
  }
};

}  // namespace hawthornwheel::catalog
