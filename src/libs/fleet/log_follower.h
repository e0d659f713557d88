#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "control_log/log_client.h"
#include "fleet/config_fold.h"

namespace hawthornwheel::fleet {

/// Feeds log batches to a fold. When the log no longer holds records that the
/// fold needs, the follower searches the remaining records for the first
/// complete checkpoint and continues folding from there. It performs no I/O.
class LogFollower {
 public:
  /// State of the follower after a batch.
  enum class Progress {
    /// All available records are folded.
    kCaughtUp,
    /// The caller must read another batch immediately.
    kReadMore,
    /// Records were lost, and the remaining ones contain no complete checkpoint
    /// to continue from.
    kNoCheckpoint,
  };

  using RecordListener =
      std::function<void(const wire::StoredRecord&, const wire::LogRecord&)>;

  /// `fold` must outlive the follower.
  explicit LogFollower(ConfigFold& fold);

  /// Sets the function called with every readable record after it was folded.
  void SetRecordListener(RecordListener listener);

  /// Returns the offset from which to read the next batch.
  std::uint64_t ReadOffset() const;

  /// Processes a batch that was read from ReadOffset().
  Progress OnBatch(const control_log::LogBatch& batch);

  /// Replaces the state of the fold with a snapshot of all records below
  /// `next_offset`. Returns false and changes nothing when the snapshot is not
  /// newer, or when records between it and the earliest available one are lost.
  bool Adopt(std::uint64_t next_offset,
             const std::vector<wire::ServiceSnapshot>& services);

  /// Returns whether records were lost and no snapshot to continue from has
  /// been found yet.
  bool IsRecovering() const { return this->recovering; }

  /// Returns the number of records that could not be parsed.
  std::uint64_t UnreadableRecords() const { return this->unreadable; }

 private:
  struct CheckpointParts {
    std::uint32_t part_count = 0;
    std::map<std::uint32_t, wire::ConfigCheckpoint> received;
  };

  void BeginRecovery(std::uint64_t earliest);
  void Fold(const wire::StoredRecord& stored);
  void Buffer(const wire::StoredRecord& stored);
  void AddCheckpointPart(const wire::ConfigCheckpoint& checkpoint);
  void Replay();

  ConfigFold& fold;
  RecordListener listener;
  bool recovering = false;
  /// Offset from which the next batch is read during a recovery.
  std::uint64_t recovery_offset = 0;
  /// Earliest offset in the log when the recovery began.
  std::uint64_t recovery_start = 0;
  std::uint64_t unreadable = 0;
  std::vector<wire::StoredRecord> buffered;
  std::map<std::uint64_t, CheckpointParts> checkpoints;
};

}  // namespace hawthornwheel::fleet
