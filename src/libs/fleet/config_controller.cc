#include "fleet/config_controller.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/logger.h"
#include "base/metrics.h"
#include "fleet/peer_messenger.h"

namespace hawthornwheel::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Logger kLog("config");

constexpr base::Duration kPeerTimeout = seconds(2);
// A checkpoint is written when 1/kCheckpointRetentionDivisor of the retention
// time has passed, which leaves the rest of it for log outages.
constexpr std::int64_t kCheckpointRetentionDivisor = 3;
constexpr std::size_t kServicesPerCheckpointPart = 64;
// Upper bound of the delay before a due checkpoint is written.
constexpr base::Duration kCheckpointJitter = seconds(5);

std::vector<wire::ServiceSnapshot> ToVector(
    const google::protobuf::RepeatedPtrField<wire::ServiceSnapshot>& field) {
  return {field.begin(), field.end()};
}

}  // namespace

ConfigController::ConfigController(base::Clock& clock,
                                   control_log::LogClient& log,
                                   PeerMessenger& messenger, FleetBoard& board,
                                   base::Metrics& metrics,
                                   const FleetSettings& settings)
    : clock(clock),
      log(log),
      messenger(messenger),
      board(board),
      metrics(metrics),
      settings(settings),
      poll_timer(clock),
      checkpoint_timer(clock),
      follower(board.config) {
  this->follower.SetRecordListener(
      [this](const wire::StoredRecord& stored, const wire::LogRecord& record) {
        this->OnRecord(stored, record);
      });
  this->messenger.SetHandler(
      wire::Envelope::kConfigRequest,
      [this](const wire::Envelope& request) { this->SendSnapshot(request); });
}

void ConfigController::Start() {
  this->started_at = this->clock.Now();
  this->Poll();
}

void ConfigController::SetRecordListener(RecordListener listener) {
  this->record_listener = std::move(listener);
}

void ConfigController::SetChangeListener(std::function<void()> listener) {
  this->change_listener = std::move(listener);
}

void ConfigController::OnPeerOffset(const std::string& peer_address,
                                    std::uint64_t next_offset) {
  if (next_offset <= this->board.config.NextOffset()) return;
  const bool recovering = this->follower.IsRecovering();
  if (this->board.log_reachable && !recovering) return;
  const bool awaiting_log =
      this->clock.Now() - this->started_at < this->settings.log_startup_timeout;
  if (awaiting_log && !recovering && !this->board.config_ready) return;
  this->RequestPeerSnapshot(peer_address);
}

void ConfigController::Poll() {
  this->metrics.Count("platform.log_reads");
  this->log.Read(this->follower.ReadOffset(),
                 [this](base::Result<control_log::LogBatch> batch) {
                   this->OnBatch(std::move(batch));
                 });
}

void ConfigController::OnBatch(base::Result<control_log::LogBatch> batch) {
  base::Duration delay = this->settings.poll_interval;
  if (!batch) {
    if (this->board.log_reachable) {
      kLog.Warning("The log cannot be read. reason=\"{}\"",
                   batch.GetError().detail);
    }
    this->board.log_reachable = false;
    this->metrics.Count("platform.log_read_errors");
  } else {
    this->board.log_reachable = true;
    const LogFollower::Progress progress = this->follower.OnBatch(*batch);
    if (progress == LogFollower::Progress::kReadMore) delay = base::Duration{0};
    if (progress == LogFollower::Progress::kCaughtUp) {
      this->ScheduleCheckpointIfDue(*batch);
      this->MarkReady("log");
    }
    this->NotifyChange();
  }
  this->poll_timer.StartOnce(delay, [this] { this->Poll(); });
}

void ConfigController::OnRecord(const wire::StoredRecord& stored,
                                const wire::LogRecord& record) {
  if (record.has_change() && this->last_checkpoint_ms == 0) {
    this->last_checkpoint_ms = stored.appended_ms();
  }
  if (record.has_checkpoint()) {
    this->TrackCheckpoint(stored, record.checkpoint());
  }
  if (this->record_listener) this->record_listener(record);
}

void ConfigController::TrackCheckpoint(
    const wire::StoredRecord& stored,
    const wire::ConfigCheckpoint& checkpoint) {
  if (checkpoint.as_of_offset() != this->seen_checkpoint_offset) {
    this->seen_checkpoint_offset = checkpoint.as_of_offset();
    this->seen_checkpoint_parts.clear();
  }
  this->seen_checkpoint_parts.insert(checkpoint.part());
  if (this->seen_checkpoint_parts.size() < checkpoint.parts()) return;
  this->last_checkpoint_ms = stored.appended_ms();
  this->checkpoint_timer.Stop();
}

void ConfigController::ScheduleCheckpointIfDue(
    const control_log::LogBatch& batch) {
  if (batch.retention_ms() == 0 || this->last_checkpoint_ms == 0) return;
  if (this->checkpoint_timer.IsActive()) return;
  const std::int64_t age_ms =
      this->clock.WallMilliseconds() - this->last_checkpoint_ms;
  if (age_ms < batch.retention_ms() / kCheckpointRetentionDivisor) return;
  // Each process waits for a different time derived from its incarnation, so
  // usually only one writes the checkpoint. Duplicate checkpoints are harmless.
  const std::string& name = this->board.self.incarnation();
  const std::uint64_t jitter_us =
      XXH64(name.data(), name.size(), 0) %
      static_cast<std::uint64_t>(kCheckpointJitter.count());
  this->checkpoint_timer.StartOnce(
      base::Duration(static_cast<base::Duration::rep>(jitter_us)),
      [this] { this->WriteCheckpoint(); });
}

void ConfigController::WriteCheckpoint() {
  const std::vector<wire::ServiceSnapshot> services =
      this->board.config.Snapshot();
  const std::uint64_t as_of = this->board.config.NextOffset();
  const std::size_t parts = std::max<std::size_t>(
      1, (services.size() + kServicesPerCheckpointPart - 1) /
             kServicesPerCheckpointPart);
  for (std::size_t part = 0; part < parts; ++part) {
    wire::LogRecord record;
    record.set_id(fmt::format("checkpoint-{}-{}-{}", as_of, part,
                              this->board.self.incarnation()));
    wire::ConfigCheckpoint* checkpoint = record.mutable_checkpoint();
    checkpoint->set_as_of_offset(as_of);
    checkpoint->set_part(static_cast<std::uint32_t>(part));
    checkpoint->set_parts(static_cast<std::uint32_t>(parts));
    const std::size_t end =
        std::min(services.size(), (part + 1) * kServicesPerCheckpointPart);
    for (std::size_t i = part * kServicesPerCheckpointPart; i < end; ++i) {
      *checkpoint->add_services() = services[i];
    }
    this->metrics.Count("platform.log_appends");
    this->log.Append(record, [](const base::Result<std::uint64_t>& result) {
      if (!result) kLog.Warning("The log did not confirm a checkpoint part.");
    });
  }
  kLog.Info("Wrote a checkpoint. as_of={} parts={}", as_of, parts);
}

void ConfigController::MarkReady(const char* source) {
  if (this->board.config_ready) return;
  this->board.config_ready = true;
  kLog.Info("The configuration is in force. source={} next_offset={}", source,
            this->board.config.NextOffset());
  this->NotifyChange();
}

void ConfigController::RequestPeerSnapshot(const std::string& address) {
  wire::Envelope envelope;
  envelope.mutable_config_request()->set_next_offset(
      this->board.config.NextOffset());
  this->messenger.Request(address, std::move(envelope), kPeerTimeout,
                          [this](base::Result<wire::Envelope> answer) {
                            if (!answer || !answer->has_config_snapshot())
                              return;
                            this->OnPeerSnapshot(answer->config_snapshot());
                          });
}

void ConfigController::OnPeerSnapshot(const wire::ConfigSnapshot& snapshot) {
  const bool adopted = this->follower.Adopt(snapshot.next_offset(),
                                            ToVector(snapshot.services()));
  if (!adopted) return;
  this->metrics.Count("config.peer_snapshots");
  this->MarkReady("peer");
  this->NotifyChange();
}

void ConfigController::SendSnapshot(const wire::Envelope& request) {
  if (!this->board.config_ready) return;
  wire::Envelope answer;
  wire::ConfigSnapshot* snapshot = answer.mutable_config_snapshot();
  snapshot->set_next_offset(this->board.config.NextOffset());
  for (const wire::ServiceSnapshot& service : this->board.config.Snapshot()) {
    *snapshot->add_services() = service;
  }
  this->messenger.Reply(request, std::move(answer));
}

void ConfigController::NotifyChange() {
  if (this->notified_revision == this->board.config.Revision()) return;
  this->notified_revision = this->board.config.Revision();
  this->metrics.Count("config.revisions");
  if (this->change_listener) this->change_listener();
}

}  // namespace hawthornwheel::fleet
