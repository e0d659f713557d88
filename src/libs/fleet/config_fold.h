#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "fleet/service_config.h"
#include "wire/peer.pb.h"
#include "wire/platform.pb.h"

namespace hawthornwheel::fleet {

/// What the fold decided about a change.
enum class ChangeVerdict { kAccepted, kConflict, kInvalid };

/// Name of a verdict in reports.
std::string_view ChangeVerdictName(ChangeVerdict verdict);

/// Decision about one record of the log, the same in every process.
struct ChangeOutcome {
  std::uint64_t offset = 0;
  std::string record_id;
  std::string operator_name;
  ChangeVerdict verdict = ChangeVerdict::kAccepted;
  /// Services that the record names.
  std::vector<std::string> services;
  /// Why it was not accepted; for a conflict, who won.
  std::string detail;
};

/// State of one service in the fold. A removed service keeps its generation, so
/// that a stale change cannot bring it back.
struct ServiceState {
  std::uint64_t generation = 0;
  std::string content;
  bool removed = false;
  std::string operator_name;
  /// Null when the service is removed.
  std::shared_ptr<const ServiceConfig> config;
};

/// Folds the log's records, in the order of their offsets, into the
/// configuration in force. Records below NextOffset() have no effect, so the
/// configuration never reverts.
class ConfigFold {
 public:
  /// Applies the record at `offset`, which must be at or above NextOffset().
  void Apply(std::uint64_t offset, const wire::LogRecord& record);

  /// Moves past a record that cannot be read or holds no configuration.
  void Skip(std::uint64_t offset);

  /// Takes over a whole state when it is newer than this one. Returns whether
  /// it did.
  bool Adopt(std::uint64_t next_offset,
             const std::vector<wire::ServiceSnapshot>& services);

  /// Offset of the first record that is not yet folded.
  std::uint64_t NextOffset() const { return this->next_offset; }

  /// Changes when the configuration in force does.
  std::uint64_t Revision() const { return this->revision; }

  /// Highest generation of any service.
  std::uint64_t Generation() const;

  /// All services that ever were, by name.
  const std::map<std::string, ServiceState>& Services() const {
    return this->services;
  }

  /// Service in force with the given name, or null.
  std::shared_ptr<const ServiceConfig> Find(const std::string& name) const;

  /// State for peers and checkpoints, in the order of the names.
  std::vector<wire::ServiceSnapshot> Snapshot() const;

  /// The latest decisions, oldest first.
  const std::deque<ChangeOutcome>& History() const { return this->history; }

 private:
  ChangeOutcome Decide(std::uint64_t offset, const std::string& record_id,
                       const wire::ConfigChange& change) const;
  void ApplyChange(std::uint64_t offset, const wire::ConfigChange& change);
  void AddToHistory(ChangeOutcome outcome);

  std::uint64_t next_offset = 0;
  std::uint64_t revision = 0;
  std::map<std::string, ServiceState> services;
  std::deque<ChangeOutcome> history;
};

}  // namespace hawthornwheel::fleet
