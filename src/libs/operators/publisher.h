#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "operators/config_reader.h"
#include "wire/platform.pb.h"

namespace hawthornwheel::operators {

/// Describes how one service differs from the configuration in force.
struct ServiceDifference {
  std::string service;
  /// "added", "changed" or "removed".
  std::string kind;
  /// Changed lines, each prefixed with "+" or "-".
  std::vector<std::string> lines;
};

/// Holds the result of a publish operation.
struct PublishReport {
  std::vector<ServiceDifference> differences;
  /// Log offset of the accepted record; unused when there are no differences.
  std::uint64_t offset = 0;
};

/// Publishes service files. Appends only changed services, in one record that
/// takes effect at most once, even when it is appended several times.
class Publisher {
 public:
  /// All references must outlive the publisher.
  Publisher(control_log::LogClient& log, LoopRunner& runner,
            ConfigReader& reader);

  /// Returns the differences between `services` (service file text by service
  /// name) and the configuration in force, which `reader` must have read
  /// before. Services in force that are missing from `services` are removed
  /// only with `remove_missing`.
  std::vector<ServiceDifference> Compare(
      const std::map<std::string, std::string>& services,
      bool remove_missing) const;

  /// Appends the changes as a record with the id `record_id`, then reads the
  /// log to find out whether the record was accepted. When the log shows no
  /// verdict on the record, appends it again. Fails with kConfigConflict when
  /// another operator published first, with kInvalidConfig when the content is
  /// invalid, and with kLogUnavailable when the verdict on the record cannot be
  /// read after the last append. An error of reading the log before the first
  /// append is returned unchanged.
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
