#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/timer.h"
#include "catalog/endpoint_entry.h"
#include "runs/endpoint_health.h"
#include "runs/endpoint_orders.h"
#include "runs/fencing_token.h"
#include "runs/run_progress.h"
#include "runs/run_settings.h"
#include "runs/task_order.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::runs {

/// How a session stands with its endpoint.
enum class SessionState {
  /// The fencing token is not yet known to be in force there.
  kClaiming,
  kReady,
  /// Two polls in a row had no answer.
  kUnreachable,
  /// A higher fencing token is in force: another process holds the endpoint.
  kFencedOff,
};

/// Gives orders to one endpoint under a fencing token, keeps the leases of
/// its runs, and accounts for its room. What may still be carried out there
/// counts as taken, as do runs that others have started.
class EndpointSession {
 public:
  struct Parts {
    base::Clock& clock;
    EndpointOrders& orders;
    base::Metrics& metrics;
    const RunSettings& settings;
    const FencingToken& tokens;
  };

  /// How an endpoint is claimed: at once, or, where a holder may be alive
  /// behind a partition, some time after it has answered a probe.
  enum class ClaimMode { kAtOnce, kAfterProbe };

  /// Claims the endpoint with a token above `fence_floor`. `on_change` is
  /// called when room or state has changed. `parts` must outlive the session.
  EndpointSession(const Parts& parts, catalog::EndpointEntry entry,
                  std::uint64_t fence_floor, ClaimMode mode,
                  std::function<void()> on_change);
  ~EndpointSession();

  const catalog::EndpointEntry& Entry() const { return this->entry; }
  void UpdateEntry(const catalog::EndpointEntry& new_entry);

  /// Takes no new task from now on.
  void Close() { this->closed = true; }
  void Reopen() { this->closed = false; }

  SessionState State() const { return this->state; }
  std::uint64_t Fence() const { return this->fence; }
  const EndpointHealth& Health() const { return this->health; }
  std::size_t RunCount() const { return this->runs.size(); }

  /// Whether it takes tasks at all at present.
  bool IsOpen() const;

  /// Room for a new task; nothing while runs of others are there.
  catalog::Resources Free() const;

  /// Starts a task; returns false, having done nothing, when it is not open
  /// or has no room.
  bool Start(const TaskOrder& order, RunHandlers handlers);

  /// Stops a run; its handler is called when it has ended.
  void Stop(const std::string& task, std::uint64_t run);

 private:
  using RunKey = std::pair<std::string, std::uint64_t>;

  enum class RunState { kStarting, kRunning, kStopping };

  struct Run {
    RunState state = RunState::kStarting;
    TaskOrder order;
    RunHandlers handlers;
    /// Started by another process, so its needs are not known.
    bool foreign = false;
    /// Token of its start order.
    std::uint64_t fence = 0;
    base::TimePoint started;
    base::TimePoint deadline;
    RunProgress progress{{}};
    bool overdue = false;
    bool start_answered = false;
    /// The endpoint restarted before it answered the start, so either
    /// incarnation may have taken it.
    bool overtaken_by_restart = false;
    /// Endpoint's clock when it took the stop; 0 before.
    std::int64_t stop_clock_ms = 0;
    std::unique_ptr<base::Timer> timer;
  };

  void Claim();
  void Poll(base::Duration wait, bool raise_fence);
  void PollAgain();
  void RaiseFence();
  void Probe();
  void OnPollReply(const PollOrder& order, const PollReply& reply);
  void OnPollAccepted(const PollOrder& order, const PollReply& reply);
  void OnPollFailed(const OrderReply& reply);
  void OnFenced(std::uint64_t order_fence);
  void ProcessEnds(const PollReply& reply);
  void ProcessRunning(const PollOrder& order, const PollReply& reply);
  void UpdateProgress(const ActiveRun& reported);
  base::Duration PollWait() const;
  void AddForeign(const ActiveRun& reported);
  void OnStartReply(const RunKey& key, std::uint64_t order_fence,
                    const OrderReply& reply);
  void SendStop(const RunKey& key);
  void Recheck();
  bool CheckIncarnation(std::int64_t incarnation_start_ms);
  void RecordClock(const OrderReply& reply);
  std::int64_t LeaseUntil() const;
  OrderTarget Target(base::Duration timeout) const;
  void End(const RunKey& key, RunOutcome outcome);
  void EndAllAsLost(const char* cause);
  void OnRestart();
  void SetState(SessionState new_state, const char* cause);

  Parts parts;
  catalog::EndpointEntry entry;
  std::function<void()> on_change;
  EndpointHealth health;
  SessionState state = SessionState::kClaiming;
  bool closed = false;
  std::uint64_t fence = 0;
  std::map<RunKey, Run> runs;
  std::uint64_t seen_end = 0;
  std::uint64_t acked_end = 0;
  std::int64_t incarnation_start_ms = 0;
  /// Latest reading of the endpoint's clock, and when it was taken.
  std::int64_t clock_ms = 0;
  base::TimePoint clock_read;
  /// Until when runs may live on without a renewal, by this machine's clock.
  base::TimePoint lease_expiry;
  /// Polls under way, but for those before the last recheck.
  int polls_in_flight = 0;
  std::uint64_t poll_generation = 0;
  int failures = 0;
  int fence_raises = 0;
  bool recheck_due = false;
  bool probe_in_flight = false;
  base::Timer poll_timer;
  base::Timer lease_expiry_timer;
  std::shared_ptr<bool> callback_guard = std::make_shared<bool>(true);
};

}  // namespace hawthornwheel::runs
