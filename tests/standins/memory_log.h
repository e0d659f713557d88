#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "wire/platform.pb.h"

namespace hawthornwheel::standins {

/// The platform's log in memory. Records past retention are dropped.
class MemoryLog {
 public:
  /// Appends a record and returns its offset.
  std::uint64_t Append(std::string data, std::int64_t now_ms);

  /// Batch from `offset` on, of at most `max_records`.
  wire::ReadAnswer Read(std::uint64_t offset, int max_records) const;

  /// Drops records older than the retention at `now_ms`.
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
