#pragma once

#include <optional>
#include <string>

#include "catalog/record_decoder.h"

namespace hawthornwheel::testing {

/// Decodes the records of tests. A configuration is `VERSION` or
/// `VERSION ROUTE...`, where a route is `PREFIX:PRIORITY` or
/// `PREFIX:PRIORITY:TIMEOUT_MS`; all routes lead from
/// host "h" to service "s". An endpoint is `DOMAIN CPU_MILLI`, optionally
/// followed by `draining` and by labels as `label=LABEL`. The key `out:DOMAIN`
/// evacuates a failure domain.
class PlainDecoder final : public catalog::RecordDecoder {
 public:
  base::Result<catalog::Configuration> DecodeConfiguration(
      const std::string& bytes) const override;
  base::Result<catalog::EndpointEntry> DecodeEndpoint(
      const std::string& id, const std::string& bytes) const override;
  std::optional<std::string> DecodeEvacuatedDomain(
      const std::string& key) const override;
};

}  // namespace hawthornwheel::testing
