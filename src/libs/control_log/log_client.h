#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "wire/platform.pb.h"

namespace hawthornwheel::control_log {

/// Answer to a read: records from the offset asked for on. When `earliest` is
/// above that offset, older records have passed retention and none are given.
using LogBatch = wire::ReadAnswer;

/// Client of the platform's append-only log.
class LogClient {
 public:
  virtual ~LogClient() = default;

  /// Appends a record and reports its offset. After an error the record may
  /// still stand in the log.
  virtual void Append(
      const wire::LogRecord& record,
      std::function<void(base::Result<std::uint64_t>)> done) = 0;

  /// Reads a batch of records from `offset` on.
  virtual void Read(std::uint64_t offset,
                    std::function<void(base::Result<LogBatch>)> done) = 0;
};

}  // namespace hawthornwheel::control_log
