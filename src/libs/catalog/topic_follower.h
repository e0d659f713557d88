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

/// How a topic is followed.
struct FollowSettings {
  Topic topic = Topic::kConfiguration;
  /// For logs.
  std::string name;
  /// How long one read waits for a record at the store.
  base::Duration read_wait{0};
  /// Pause after a read that brought nothing.
  base::Duration pause{0};
};

/// Follows one keyed topic: first the newest record of each key, then what is
/// appended. Starts over when records it had not read were deleted.
class TopicFollower {
 public:
  /// Gets records in order; `whole` when they are all keys of the topic.
  using Receiver =
      std::function<void(const std::vector<StoreRecord>& records,
                         bool is_snapshot, std::uint64_t next_offset)>;

  /// References must outlive the follower.
  TopicFollower(MetadataStore& store, base::Clock& clock,
                FollowSettings settings, Receiver receiver);

  void Start();

  /// Sets the pause between reads; takes effect at once.
  void SetPause(base::Duration pause);

  /// Whether to go on reading; a read under way is still taken.
  void SetActive(bool active);

  /// Whether the last call to the store succeeded.
  bool IsConnected() const { return this->connected; }

  /// Since when IsConnected() has held its value.
  base::TimePoint ConnectionChangedAt() const {
    return this->connection_changed_at;
  }

  /// When the last successful read was answered.
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
  /// Set while nothing is read since the follower is not active.
  bool halted = false;
  int failures = 0;
};

}  // namespace hawthornwheel::catalog
