#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace hawthornwheel::catalog {

/// Keyed topics of the platform's log.
enum class Topic { kConfiguration, kEndpoints, kMembers };

/// Holds one keyed record. An empty value deletes the key.
struct StoreRecord {
  std::string key;
  std::string value;
  std::uint64_t offset = 0;
};

/// Holds one page of a read that returns the newest record of each key.
struct StorePage {
  std::vector<StoreRecord> records;
  bool has_more = false;
  /// Offset after the last record of the topic at the time of the read.
  std::uint64_t end_offset = 0;
};

/// Reads and writes the platform's log. Callbacks run on the event loop. A
/// write that reports an error may still have been made.
class MetadataStore {
 public:
  virtual ~MetadataStore() = default;

  /// Reads a page of the newest record of each key after `after_key`, in key
  /// order.
  virtual void ReadNewest(
      Topic topic, const std::string& after_key,
      std::function<void(base::Result<StorePage>)> done) = 0;

  /// Reads records from `offset` on and waits up to `wait` for the first one.
  /// Fails with kLogRecordsLost when records from `offset` on were deleted.
  virtual void ReadFrom(
      Topic topic, std::uint64_t offset, base::Duration wait,
      std::function<void(base::Result<std::vector<StoreRecord>>)> done) = 0;

  /// Appends a record.
  virtual void Append(Topic topic, const std::string& key,
                      const std::string& value,
                      std::function<void(base::Result<bool>)> done) = 0;
};

}  // namespace hawthornwheel::catalog
