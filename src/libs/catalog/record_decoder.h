#pragma once

#include <optional>
#include <string>

#include "base/result.h"
#include "catalog/configuration.h"
#include "catalog/endpoint_entry.h"

namespace hawthornwheel::catalog {

/// Decodes the platform's records. Fails with kInvalidConfig when a record
/// cannot be parsed or lacks a field.
class RecordDecoder {
 public:
  virtual ~RecordDecoder() = default;

  virtual base::Result<Configuration> DecodeConfiguration(
      const std::string& bytes) const = 0;
  virtual base::Result<EndpointEntry> DecodeEndpoint(
      const std::string& id, const std::string& bytes) const = 0;

  /// Returns the failure domain that a record of the configuration topic with
  /// this key evacuates, or nothing if the key is of another kind. The text can
  /// be sent in messages to other processes.
  virtual std::optional<std::string> DecodeEvacuatedDomain(
      const std::string& key) const = 0;
};

}  // namespace hawthornwheel::catalog
