#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runs/endpoint_orders.h"
#include "support/manual_clock.h"

namespace hawthornwheel::testing {

/// Models one endpoint by the users' pages. It enforces no capacity. A restart
/// under the same id forgets everything, including the clock. Only lists of
/// runs name the incarnation.
class ModelEndpoint {
 public:
  using RunKey = std::pair<std::string, std::uint64_t>;

  struct Task {
    std::int64_t cpu_milli = 0;
    base::Duration time{0};
  };

  /// Passes the answer, or nothing when the connection ends without one.
  template <typename Reply>
  using Answer = std::function<void(const std::optional<Reply>&)>;

  /// `on_start` is called before a run starts. References must outlive the
  /// endpoint.
  ModelEndpoint(ManualClock& clock, std::string id, bool slow_clock,
                std::function<void(const RunKey&)> on_start);

  /// Grants each lease from the arrival of its order on, however late that is.
  /// By PROTOCOL.md, `untilMs` is a time on its clock and a late start is
  /// refused. Without that, only fencing tokens protect.
  void GrantLeasesOnArrival() { this->grants_on_arrival = true; }

  void SetTask(const std::string& name, const Task& task) {
    this->tasks[name] = task;
  }

  void Start(const runs::StartOrder& order,
             const Answer<runs::OrderReply>& answer);
  void Stop(const runs::OrderTarget& target, const RunKey& key,
            const Answer<runs::OrderReply>& answer);
  void Poll(const runs::PollOrder& order,
            const Answer<runs::PollReply>& answer);

  /// Starts a new incarnation that answers after `down`. Polls that wait get no
  /// answer; their connections end only if `closes` is set.
  void Restart(base::Duration down, bool closes);

  bool IsUp() const { return this->clock.Now() >= this->up_at; }
  bool IsAtWork(const RunKey& key) const { return this->runs.contains(key); }
  std::size_t RunCount() const { return this->runs.size(); }
  std::int64_t UsedCpu() const;
  /// Highest fencing token that this incarnation has seen.
  std::uint64_t Fence() const { return this->fence; }
  /// Returns another run of the task that is at work, or 0.
  std::uint64_t OtherRunOf(const RunKey& key) const;
  /// Start of the incarnation in Unix milliseconds.
  std::int64_t IncarnationStart() const { return this->incarnation_start_ms; }

 private:
  struct Run {
    bool stopping = false;
    base::TimerId timer = 0;
  };

  struct Waiter {
    base::TimerId timer = 0;
    Answer<runs::PollReply> answer;
  };

  std::int64_t ClockMs() const;
  base::Duration LocalTime(std::int64_t endpoint_ms) const;
  runs::OrderReply Reply(runs::OrderOutcome outcome) const;
  runs::PollReply List() const;
  runs::OrderOutcome Admit(const runs::OrderTarget& target);
  runs::OrderOutcome Carry(const runs::StartOrder& order);
  void RenewLease(std::int64_t until_ms);
  void End(const RunKey& key, runs::RunEndKind kind);
  void AnswerWaiters();

  ManualClock& clock;
  std::string id;
  bool slow_clock = false;
  bool grants_on_arrival = false;
  std::function<void(const RunKey&)> on_start;
  std::map<std::string, Task> tasks;
  base::TimePoint start_time;
  base::TimePoint up_at;
  std::int64_t incarnation_start_ms = 0;
  std::uint64_t fence = 0;
  std::map<RunKey, Run> runs;
  std::map<std::string, std::uint64_t> highest_ended;
  std::vector<runs::EndedRun> ended;
  std::uint64_t next_end = 1;
  std::int64_t lease_end_ms = 0;
  base::TimerId lease_timer = 0;
  std::map<std::uint64_t, Waiter> waiters;
  std::uint64_t next_waiter = 1;
};

}  // namespace hawthornwheel::testing
