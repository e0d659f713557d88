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

/// Decision of the fold about a configuration change.
enum class ChangeVerdict { kAccepted, kConflict, kInvalid };

/// Returns the name of a verdict in reports.
std::string_view ChangeVerdictName(ChangeVerdict verdict);

/// Holds the decision about one configuration change in the log. Every process
/// reaches the same decision.
struct ChangeOutcome {
  std::uint64_t offset = 0;
  std::string record_id;
  std::string operator_name;
  ChangeVerdict verdict = ChangeVerdict::kAccepted;
  /// Names of the services that the change contains.
  std::vector<std::string> services;
  /// Reason for a rejection; for a conflict it includes the operator whose
  /// change came first. Empty for an accepted change.
  std::string detail;
};

/// Holds the state of one service in the fold. A removed service keeps its
/// generation, so a stale change cannot restore it.
struct ServiceState {
  /// Offset of the latest accepted change of the service plus 1, or 0 when
  /// there is none.
  std::uint64_t generation = 0;
  std::string content;
  bool removed = false;
  std::string operator_name;
  /// Null when the service is removed or its content in a snapshot is invalid.
  std::shared_ptr<const ServiceConfig> config;
};

/// Folds log records in offset order into the configuration in force. Records
/// below NextOffset() have no effect, so the configuration never reverts.
class ConfigFold {
 public:
  /// Applies the record at `offset`. Does nothing when `offset` is below
  /// NextOffset().
  void Apply(std::uint64_t offset, const wire::LogRecord& record);

  /// Advances past the record at `offset`, which cannot be read or contains no
  /// configuration.
  void Skip(std::uint64_t offset);

  /// Replaces the state with a complete snapshot of all records below
  /// `next_offset`. Returns false and changes nothing when the snapshot is not
  /// newer than this state.
  bool Adopt(std::uint64_t next_offset,
             const std::vector<wire::ServiceSnapshot>& services);

  /// Returns the offset of the first record that is not folded yet.
  std::uint64_t NextOffset() const { return this->next_offset; }

  /// Returns a counter that increases whenever the configuration in force is
  /// changed or replaced.
  std::uint64_t Revision() const { return this->revision; }

  /// Returns the highest generation of any service, or 0 when there is none.
  std::uint64_t Generation() const;

  /// Returns all services by name, including removed ones.
  const std::map<std::string, ServiceState>& Services() const {
    return this->services;
  }

  /// Returns the configuration of the named service, or null when there is no
  /// such service or it was removed.
  std::shared_ptr<const ServiceConfig> Find(const std::string& name) const;

  /// Returns the state for peers and checkpoints, sorted by service name.
  std::vector<wire::ServiceSnapshot> Snapshot() const;

  /// Returns the most recent decisions, oldest first.
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
