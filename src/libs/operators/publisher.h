#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "operators/config_reader.h"
#include "wire/platform.pb.h"

namespace hawthornwheel::operators {

/// How one service differs from what is in force.
struct ServiceDifference {
  std::string service;
  /// "added", "changed" or "removed".
  std::string kind;
  /// Lines of the difference, each with "+" or "-" before it.
  std::vector<std::string> lines;
};

/// What a publish did.
struct PublishReport {
  std::vector<ServiceDifference> differences;
  /// Offset of the accepted record; meaningless without differences.
  std::uint64_t offset = 0;
};

/// Publishes service files: only what changed, in one record, once.
class Publisher {
 public:
  /// All references must outlive the publisher.
  Publisher(control_log::LogClient& log, LoopRunner& runner,
            ConfigReader& reader);

  /// Differences between `services` and what is in force, which must have been
  /// read. Services that stand in force and not in `services` are removed only
  /// with `remove_missing`.
  std::vector<ServiceDifference> Compare(
      const std::map<std::string, std::string>& services,
      bool remove_missing) const;

  /// Appends the changes and reads back what the fold decided on them. When the
  /// append is not answered, the record is looked for by its id before it is
  /// appended again. Fails with kConfigConflict when another operator was
  /// faster.
  base::Result<PublishReport> Publish(
      const std::map<std::string, std::string>& services, bool remove_missing,
      const std::string& operator_name, const std::string& record_id);

 private:
  wire::LogRecord MakeRecord(const std::vector<ServiceDifference>& differences,
                             const std::map<std::string, std::string>& services,
                             const std::string& operator_name,
                             const std::string& record_id) const;
  bool Append(const wire::LogRecord& record);
  const fleet::ChangeOutcome* FindOutcome(const std::string& record_id) const;

  control_log::LogClient& log;
  LoopRunner& runner;
  ConfigReader& reader;
};

}  // namespace hawthornwheel::operators
