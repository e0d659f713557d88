#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "control_log/log_client.h"
#include "fleet/config_fold.h"

namespace hawthornwheel::fleet {

/// Feeds batches of the log to a fold. When records have passed retention it
/// looks for the first whole checkpoint in what is left, and folds on from
/// there. It does no input or output of its own.
class LogFollower {
 public:
  /// What is to be done after a batch.
  enum class Progress {
    /// The fold holds all records there are.
    kCaughtUp,
    /// Another batch is to be read at once.
    kReadMore,
    /// All records were read and no whole checkpoint was among them.
    kNoCheckpoint,
  };

  using RecordListener =
      std::function<void(const wire::StoredRecord&, const wire::LogRecord&)>;

  /// `fold` must outlive the follower.
  explicit LogFollower(ConfigFold& fold);

  /// Sets the function that sees every readable record once it is folded.
  void SetRecordListener(RecordListener listener);

  /// Offset of the next batch to read.
  std::uint64_t ReadOffset() const;

  /// Takes a batch that was read from ReadOffset().
  Progress OnBatch(const control_log::LogBatch& batch);

  /// Takes over a peer's state when it is newer.
  bool Adopt(std::uint64_t next_offset,
             const std::vector<wire::ServiceSnapshot>& services);

  /// Whether records were lost and no state to go on from has been found.
  bool IsRecovering() const { return this->recovering; }

  /// Records that could not be read.
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
  std::uint64_t recovery_offset = 0;
  std::uint64_t recovery_start = 0;
  std::uint64_t unreadable = 0;
  std::vector<wire::StoredRecord> buffered;
  std::map<std::uint64_t, CheckpointParts> checkpoints;
};

}  // namespace hawthornwheel::fleet
