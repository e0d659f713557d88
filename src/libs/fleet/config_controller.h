#pragma once

#include <functional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/timer.h"
#include "control_log/log_client.h"
#include "fleet/fleet_board.h"
#include "fleet/fleet_settings.h"
#include "fleet/log_follower.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::fleet {

class PeerMessenger;

/// Follows the log and maintains the configuration in force.
///
/// Owns these blackboard fields: `config`, `config_ready`, `log_reachable`.
/// Passes every readable log record, membership records included, to a
/// listener. When the log no longer holds records that the controller needs,
/// the controller continues from a complete checkpoint in the log, or else from
/// a peer's snapshot.
class ConfigController {
 public:
  using RecordListener = std::function<void(const wire::LogRecord&)>;

  /// All references must outlive the controller.
  ConfigController(base::Clock& clock, control_log::LogClient& log,
                   PeerMessenger& messenger, FleetBoard& board,
                   base::Metrics& metrics, const FleetSettings& settings);

  /// Starts polling the log.
  void Start();

  /// Sets the function called with each record after it has been folded.
  void SetRecordListener(RecordListener listener);

  /// Sets the function called after the configuration in force changes.
  void SetChangeListener(std::function<void()> listener);

  /// Processes a peer's log position from its heartbeat. Requests the peer's
  /// snapshot when `next_offset` is ahead of this process and the log either
  /// cannot be read or no longer holds the records needed. A process without a
  /// configuration waits `log_startup_timeout` for an unreadable log first.
  void OnPeerOffset(const std::string& peer_address, std::uint64_t next_offset);

 private:
  void Poll();
  void OnBatch(base::Result<control_log::LogBatch> batch);
  void OnRecord(const wire::StoredRecord& stored,
                const wire::LogRecord& record);
  void TrackCheckpoint(const wire::StoredRecord& stored,
                       const wire::ConfigCheckpoint& checkpoint);
  void ScheduleCheckpointIfDue(const control_log::LogBatch& batch);
  void WriteCheckpoint();
  void MarkReady(const char* source);
  void RequestPeerSnapshot(const std::string& address);
  void OnPeerSnapshot(const wire::ConfigSnapshot& snapshot);
  void SendSnapshot(const wire::Envelope& request);
  void NotifyChange();

  base::Clock& clock;
  control_log::LogClient& log;
  PeerMessenger& messenger;
  FleetBoard& board;
  base::Metrics& metrics;
  const FleetSettings& settings;
  base::Timer poll_timer;
  base::Timer checkpoint_timer;
  RecordListener record_listener;
  std::function<void()> change_listener;
  base::TimePoint started_at;
  std::uint64_t notified_revision = 0;
  LogFollower follower;
  /// Offset of the checkpoint whose part was read last, and the numbers of its
  /// parts read so far.
  std::uint64_t seen_checkpoint_offset = 0;
  std::set<std::uint32_t> seen_checkpoint_parts;
  /// Append time of the last complete checkpoint, or of the first change when
  /// there is none, in milliseconds since the Unix epoch; 0 when there is
  /// nothing to checkpoint.
  std::int64_t last_checkpoint_ms = 0;
};

}  // namespace hawthornwheel::fleet
