#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/timer.h"
#include "catalog/metadata_store.h"

namespace hawthornwheel::catalog {

/// Holds the settings of a TopicFollower.
struct FollowSettings {
  Topic topic = Topic::kConfiguration;
  /// Name of the topic in logs.
  std::string name;
  /// Time that one read waits for a record at the store.
  base::Duration read_wait{0};
  /// Pause before the next read. A read that waited at the store and returned
  /// no record is followed by the next one without a pause.
  base::Duration pause{0};
};

/// Follows one keyed topic: reads the newest record of each key first, then the
/// records that are appended. Starts over when unread records were deleted.
class TopicFollower {
 public:
  /// Receives records in order. `is_snapshot` is set when they cover all keys
  /// of the topic; `next_offset` is the offset of the next read.
  using Receiver =
      std::function<void(const std::vector<StoreRecord>& records,
                         bool is_snapshot, std::uint64_t next_offset)>;

  /// References must outlive the follower.
  TopicFollower(MetadataStore& store, base::Clock& clock,
                FollowSettings settings, Receiver receiver);

  /// Starts with a read of the newest record of each key.
  void Start();

  /// Sets the pause between reads; a pause in progress restarts with it.
  void SetPause(base::Duration pause);

  /// Sets whether reading continues; the result of a read in flight is still
  /// delivered.
  void SetActive(bool active);

  /// Returns whether the last call to the store succeeded.
  bool IsConnected() const { return this->connected; }

  /// Returns when IsConnected() changed last.
  base::TimePoint ConnectionChangedAt() const {
    return this->connection_changed_at;
  }

  /// Returns when the last successful read was answered.
  base::TimePoint LastRead() const { return this->last_read; }

 private:
  void ReadPage(const std::string& after_key);
  void ReadRecords();
  void Pause();
  void Continue();
  void HandleError(const base::Error& error);
  void SetConnected(bool now_connected, const std::string& cause);

  MetadataStore& store;
  base::Clock& clock;
  FollowSettings settings;
  Receiver receiver;
  base::Timer timer;
  std::vector<StoreRecord> snapshot_records;
  std::uint64_t next_offset = 0;
  bool has_snapshot = false;
  bool connected = false;
  base::TimePoint connection_changed_at;
  base::TimePoint last_read;
  bool pausing = false;
  bool active = true;
  /// Set while reading is stopped because the follower is not active.
  bool halted = false;
  int failures = 0;
};

}  // namespace hawthornwheel::catalog
