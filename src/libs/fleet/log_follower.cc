#include "fleet/log_follower.h"

#include <utility>

#include "base/logger.h"

namespace hawthornwheel::fleet {
namespace {

constexpr base::Logger kLog("config");

}  // namespace

LogFollower::LogFollower(ConfigFold& fold) : fold(fold) {}

void LogFollower::SetRecordListener(RecordListener listener) {
  this->listener = std::move(listener);
}

std::uint64_t LogFollower::ReadOffset() const {
  return this->recovering ? this->recovery_offset : this->fold.NextOffset();
}

LogFollower::Progress LogFollower::OnBatch(const control_log::LogBatch& batch) {
  if (batch.earliest() > this->ReadOffset()) {
    this->BeginRecovery(batch.earliest());
    return Progress::kReadMore;
  }
  for (const wire::StoredRecord& stored : batch.records()) {
    if (this->recovering) {
      this->Buffer(stored);
    } else {
      this->Fold(stored);
    }
  }
  if (batch.records_size() > 0) return Progress::kReadMore;
  return this->recovering ? Progress::kNoCheckpoint : Progress::kCaughtUp;
}

bool LogFollower::Adopt(std::uint64_t next_offset,
                        const std::vector<wire::ServiceSnapshot>& services) {
  // A snapshot is usable only if every later record is still available.
  if (this->recovering && next_offset < this->recovery_start) return false;
  if (!this->fold.Adopt(next_offset, services)) return false;
  if (this->recovering) this->Replay();
  return true;
}

void LogFollower::BeginRecovery(std::uint64_t earliest) {
  kLog.Warning("Log records are past retention. wanted={} earliest={}",
               this->ReadOffset(), earliest);
  this->recovering = true;
  this->recovery_offset = earliest;
  this->recovery_start = earliest;
  this->buffered.clear();
  this->checkpoints.clear();
}

void LogFollower::Fold(const wire::StoredRecord& stored) {
  if (stored.offset() < this->fold.NextOffset()) return;
  wire::LogRecord record;
  if (!record.ParseFromString(stored.data())) {
    kLog.Warning("Skipped an unreadable log record. offset={}",
                 stored.offset());
    ++this->unreadable;
    this->fold.Skip(stored.offset());
    return;
  }
  this->fold.Apply(stored.offset(), record);
  if (this->listener) this->listener(stored, record);
}

void LogFollower::Buffer(const wire::StoredRecord& stored) {
  this->recovery_offset = stored.offset() + 1;
  this->buffered.push_back(stored);
  wire::LogRecord record;
  if (!record.ParseFromString(stored.data())) return;
  if (record.has_checkpoint()) this->AddCheckpointPart(record.checkpoint());
}

void LogFollower::AddCheckpointPart(const wire::ConfigCheckpoint& checkpoint) {
  CheckpointParts& collected = this->checkpoints[checkpoint.as_of_offset()];
  collected.part_count = checkpoint.parts();
  collected.received[checkpoint.part()] = checkpoint;
  if (collected.received.size() < collected.part_count) return;
  std::vector<wire::ServiceSnapshot> services;
  for (const auto& [part, content] : collected.received) {
    services.insert(services.end(), content.services().begin(),
                    content.services().end());
  }
  this->Adopt(checkpoint.as_of_offset(), services);
}

void LogFollower::Replay() {
  this->recovering = false;
  const std::vector<wire::StoredRecord> records = std::move(this->buffered);
  this->buffered.clear();
  this->checkpoints.clear();
  for (const wire::StoredRecord& stored : records) this->Fold(stored);
}

}  // namespace hawthornwheel::fleet
