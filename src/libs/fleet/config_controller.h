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

/// Follows the log and keeps the configuration in force.
///
/// Owns on the blackboard: `config`, `config_ready`, `log_reachable`. Records
/// of membership are handed on to a listener. When records have passed
/// retention it starts from the latest whole checkpoint, or else from a peer.
class ConfigController {
 public:
  using RecordListener = std::function<void(const wire::LogRecord&)>;

  /// All references must outlive the controller.
  ConfigController(base::Clock& clock, control_log::LogClient& log,
                   PeerMessenger& messenger, FleetBoard& board,
                   base::Metrics& metrics, const FleetSettings& settings);

  /// Starts to follow the log.
  void Start();

  /// Sets the function that takes records without configuration.
  void SetRecordListener(RecordListener listener);

  /// Sets the function called after the configuration in force has changed.
  void SetChangeListener(std::function<void()> listener);

  /// Tells that a peer folds from `next_offset`; asks it for its state when
  /// that is ahead and the log cannot be read.
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
  /// Parts seen of the checkpoint that was begun last.
  std::uint64_t seen_checkpoint_offset = 0;
  std::set<std::uint32_t> seen_checkpoint_parts;
  /// Append time of the last whole checkpoint, or of the first change when
  /// there is none; 0 when nothing needs a checkpoint.
  std::int64_t last_checkpoint_ms = 0;
};

}  // namespace hawthornwheel::fleet
