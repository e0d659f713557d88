#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "wire/platform.pb.h"

namespace hawthornwheel::standins {

/// Holds the platform's log in memory and drops the records past retention.
class MemoryLog {
 public:
  /// Appends a record at `now_ms`, in Unix milliseconds, and returns its
  /// offset.
  std::uint64_t Append(std::string data, std::int64_t now_ms);

  /// Returns at most `max_records` records from `offset` onwards, or none when
  /// `offset` is below the earliest record.
  wire::ReadAnswer Read(std::uint64_t offset, int max_records) const;

  /// Drops the records that are past retention at `now_ms`.
  void Expire(std::int64_t now_ms);

  /// Drops all records below `offset`.
  void DropBelow(std::uint64_t offset);

  void SetRetention(std::int64_t retention_ms);

  std::uint64_t NextOffset() const { return this->earliest + this->Size(); }
  std::size_t Size() const { return this->records.size(); }

 private:
  std::int64_t retention_ms = 3'600'000;
  std::uint64_t earliest = 0;
  std::deque<wire::StoredRecord> records;
};

}  // namespace hawthornwheel::standins
