#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/timer.h"
#include "catalog/endpoint_entry.h"
#include "runs/endpoint_health.h"
#include "runs/endpoint_orders.h"
#include "runs/endpoint_run.h"
#include "runs/failure_detector.h"
#include "runs/fencing_token_generator.h"
#include "runs/incarnation_tracker.h"
#include "runs/lease_expiry.h"
#include "runs/run_map.h"
#include "runs/run_settings.h"
#include "runs/session_state.h"
#include "runs/settled_runs.h"
#include "runs/task_order.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::runs {

struct SentOrder;

/// Sends orders to one endpoint under a fencing token, renews the leases of its
/// runs, and tracks its free resources. Runs whose start may still be carried
/// out, and runs that other processes have started, count as using resources.
class EndpointSession {
 public:
  struct Parts {
    base::Clock& clock;
    EndpointOrders& orders;
    base::Metrics& metrics;
    const RunSettings& settings;
    const FencingTokenGenerator& tokens;
  };

  /// When an endpoint is claimed: at once, or some time after it has answered a
  /// probe, since another holder may still be running behind a partition.
  enum class ClaimMode { kAtOnce, kAfterProbe };

  /// Claims the endpoint with a token above `fence_floor`. `on_change` is
  /// called when free resources or state have changed. `parts` must outlive the
  /// session.
  EndpointSession(const Parts& parts, catalog::EndpointEntry entry,
                  std::uint64_t fence_floor, ClaimMode mode,
                  std::function<void()> on_change);
  ~EndpointSession();

  const catalog::EndpointEntry& Entry() const { return this->entry; }
  void UpdateEntry(const catalog::EndpointEntry& new_entry);

  /// Refuses new tasks until Reopen().
  void Close() { this->closed = true; }
  /// Like Close(), and ends starts that wait for a list of runs as not run.
  void Evacuate() {
    this->Close();
    this->EndHeld();
  }
  /// Accepts new tasks again after Close() or Evacuate().
  void Reopen() { this->closed = false; }

  SessionState State() const { return this->state; }
  std::uint64_t Fence() const { return this->fence; }
  const EndpointHealth& Health() const { return this->health; }
  /// Sets the pace at which the learned one began.
  void SetStartPace(double pace) { this->health.SetStartPace(pace); }
  std::size_t RunCount() const { return this->runs.size(); }
  const RunMap& Runs() const { return this->runs; }
  /// Returns whether orders to the endpoint were lost in the last seconds.
  bool IsLossy() const { return this->failures.IsLossy(); }

  /// Returns whether the endpoint accepts tasks at present.
  bool IsOpen() const;

  /// Returns the free resources; none while runs of other processes are
  /// in progress at the endpoint.
  catalog::Resources Free() const;

  /// Returns the time at which the next run is expected to end; nothing when
  /// nothing runs, or when a run of another process, whose run time is unknown,
  /// is in progress.
  std::optional<base::TimePoint> NextFree() const;

  /// Starts a task. Returns false without any effect when the endpoint is not
  /// open, has too few free resources, already has this run, or was chosen by
  /// the entry of another incarnation, and when the leases there are likely to
  /// expire before the task ends.
  bool Start(const TaskOrder& order, RunHandlers handlers);

  /// Stops a run. Its handler is called when it has ended. If the endpoint does
  /// not confirm the stop, the leases there are not renewed beyond `end_by`, so
  /// that the run has ended by then, and with it all others at the endpoint.
  /// Without `end_by`, the run may go on until a stop order arrives.
  void Stop(const std::string& task, std::uint64_t run,
            std::optional<base::TimePoint> end_by);

 private:
  using Run = EndpointRun;
  using RunState = EndpointRun::State;

  bool IsVerified() const;
  base::Duration GrantableLease() const;
  bool HasTimeFor(const TaskOrder& order) const;
  void SendStart(const RunKey& key);
  void SendHeld();
  void EndHeld();
  void Poll(base::Duration wait, bool raise_fence);
  void PollAgain();
  void RaiseFence();
  void Probe();
  void ArmCheck();
  bool IsCovering() const;
  void CheckPolls();
  void OnPollReply(const PollOrder& order, const SentOrder& sent,
                   FailureDetector::PollState poll_state,
                   const PollReply& reply);
  void OnPollAccepted(const PollOrder& order, const SentOrder& sent,
                      const PollReply& reply);
  void OnPollFailed(const SentOrder& sent,
                    FailureDetector::PollState poll_state,
                    const OrderReply& reply);
  void OnSilence(const char* cause);
  void OnFenced(std::uint64_t order_fence);
  void AwaitLeaseExpiry(const char* cause);
  void ProcessEnds(const PollReply& reply);
  void ProcessRunning(const PollOrder& order, const PollReply& reply);
  void UpdateProgress(const ActiveRun& reported);
  base::Duration PollWait() const;
  void AddForeign(const ActiveRun& reported, std::uint64_t list_fence);
  void OnStartReply(const RunKey& key, const SentOrder& sent,
                    const OrderReply& reply);
  void OnReplaced(base::Duration pause);
  void SendStop(const RunKey& key);
  void Recheck();
  void RepeatPoll();
  bool CheckIncarnation(std::int64_t reported_start_ms);
  OrderTarget Target(base::Duration timeout) const;
  void End(const RunKey& key, RunOutcome outcome);
  void ReportLostStop(const RunKey& key, const Run& run);
  void ReportLapse(const RunKey& key, const Run& run);
  void RecordStop(const RunKey& key, const Run& run, RunOutcome outcome);
  void Settle(const RunKey& key, RunOutcome outcome,
              SettlementEvidence evidence);
  void EndAllAsLost(const char* cause, SettlementEvidence evidence);
  void OnRestart();
  void SetState(SessionState new_state, const char* cause);

  Parts parts;
  catalog::EndpointEntry entry;
  std::function<void()> on_change;
  EndpointHealth health;
  SessionState state = SessionState::kClaiming;
  bool closed = false;
  /// Whether `entry` describes an earlier incarnation of the endpoint. The new
  /// one may be of another kind.
  bool entry_outdated = false;
  std::uint64_t fence = 0;
  RunMap runs;
  std::uint64_t last_start_number = 0;
  SettledRuns settled;
  IncarnationTracker incarnation;
  LeaseExpiry lease_expiry;
  FailureDetector failures;
  /// Raises of the fencing token since the last accepted poll.
  int fence_raises = 0;
  /// Whether a recheck is in progress: a poll with a raised token was sent, and
  /// no poll has confirmed the current token since.
  bool recheck_due = false;
  bool probe_in_flight = false;
  base::Timer poll_timer;
  base::Timer check_timer;
  base::Timer lease_expiry_timer;
  /// False once the session is destroyed; pending callbacks then do nothing.
  std::shared_ptr<bool> callback_guard = std::make_shared<bool>(true);
};

}  // namespace hawthornwheel::runs
