#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "wire/platform.pb.h"

namespace hawthornwheel::control_log {

/// Result of a read: records from the requested offset onwards. When `earliest`
/// is above that offset, older records are past retention and the batch holds
/// no records.
using LogBatch = wire::ReadAnswer;

/// Reads and appends to the platform's append-only log.
class LogClient {
 public:
  virtual ~LogClient() = default;

  /// Appends a record and calls `done` with its offset or an error. After an
  /// error the record may still have been appended.
  virtual void Append(
      const wire::LogRecord& record,
      std::function<void(base::Result<std::uint64_t>)> done) = 0;

  /// Reads a batch of records from `offset` onwards and calls `done` with it or
  /// an error.
  virtual void Read(std::uint64_t offset,
                    std::function<void(base::Result<LogBatch>)> done) = 0;
};

}  // namespace hawthornwheel::control_log
