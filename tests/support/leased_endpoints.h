#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "catalog/endpoint_entry.h"
#include "runs/endpoint_orders.h"
#include "support/process_clock.h"
#include "support/random.h"

namespace hawthornwheel::testing {

/// Simulates endpoints that run tasks under leases and fencing tokens and that
/// do not enforce their capacity. Records each violation of a guarantee: an
/// exceeded capacity, or two runs of a task at the same time.
class LeasedEndpoints {
 public:
  /// Faults of the orders to all endpoints.
  struct Faults {
    /// Fraction of orders, from 0 to 1, that are carried out after a delay from
    /// `min_delay` to `max_delay`. The sender gets no answer when the delay
    /// exceeds the timeout of the order.
    double late = 0;
    base::Duration min_delay{2'000'000};
    base::Duration max_delay{12'000'000};
    /// Fraction of orders, from 0 to 1, that are carried out without an answer.
    double answer_lost = 0;
    /// Fraction of start orders, from 0 to 1, that are carried out without an
    /// answer, besides those of `answer_lost`.
    double start_answer_lost = 0;
    /// Fraction of the stop orders that arrive, from 0 to 1, that are carried
    /// out up to `max_stop_delay` late, without an answer.
    double stop_late = 0;
    base::Duration max_stop_delay{4'000'000};
    /// Fraction of orders, from 0 to 1, whose connection ends within 2 ms
    /// without an answer. Half of them are carried out, before or after their
    /// sender notices the end.
    double connection_ends = 0;
    /// Fraction of stop orders, from 0 to 1, that never arrive.
    double stops_lost = 0;
    /// Whether runs go on after their lease has expired, which no sound
    /// endpoint lets them.
    bool leases_ignored = false;
    /// Fraction of orders, from 0 to 1, that are refused with kOverloaded and
    /// have no effect.
    double overloaded = 0;
    /// Orders and answers take up to this time, so that they overtake each
    /// other; 0 for a fixed time.
    base::Duration max_transit{0};
  };

  /// What happens to the connections to an endpoint that crashes.
  enum class CrashKind {
    /// They end at once, and new ones are refused.
    kRefuses,
    /// Nothing arrives until their orders time out.
    kSilent,
  };

  /// References must outlive the endpoints.
  LeasedEndpoints(base::Clock& clock, Random& random);

  /// Adds an endpoint. `pace` is a factor on all run times, `clock_rate` the
  /// speed of its clock.
  void Add(const catalog::EndpointEntry& entry, double pace = 1,
           double clock_rate = 1);

  /// Sets the factor on the run times of all runs that start from now on.
  void SetPace(const std::string& id, double pace) {
    this->endpoints.at(id).pace = pace;
  }

  /// Restarts an endpoint: it loses its runs, its lease and its fencing token,
  /// and gets a new incarnation.
  void Restart(const std::string& id);

  /// Ends an endpoint: it loses its runs, its lease and its fencing token, and
  /// gives no more answers, also to polls that wait.
  void Crash(const std::string& id, CrashKind kind);

  /// Starts a crashed endpoint again, as a new incarnation.
  void Recover(const std::string& id);

  /// Starts another endpoint at the address of a crashed one.
  void Replace(const std::string& id, const std::string& new_id);

  /// Returns whether an endpoint has crashed or is unknown.
  bool IsDown(const std::string& id) const;

  /// Ends all connections to an endpoint within 2 ms. Orders that have not
  /// arrived may still be carried out.
  void EndConnections(const std::string& id);

  /// Sets whether all orders to an endpoint are dropped.
  void SetSilent(const std::string& id, bool silent);

  /// Drops all orders from processes of one failure domain to endpoints of
  /// another until HealAll().
  void Partition(const std::string& process_domain, const std::string& domain);
  void HealAll() { this->partitions.clear(); }

  void SetFaults(const Faults& new_faults) { this->faults = new_faults; }

  /// Sets whether all stop orders for the endpoint get lost.
  void SetStopsLost(const std::string& id, bool lost) {
    this->endpoints.at(id).stops_lost = lost;
  }

  /// Sets whether an order that is carried out late, or whose connection has
  /// ended, is also carried out by a later incarnation of its endpoint.
  void SetLateAfterRestart(bool carried_out) {
    this->late_after_restart = carried_out;
  }

  /// Makes runs of tasks with this payload end as `kind` after `time`.
  void SetTask(const std::string& payload, base::Duration time,
               runs::RunEndKind kind);

  /// Makes runs of tasks with this payload take `far_factor` times as long at
  /// endpoints without the label.
  void SetNear(const std::string& payload, const std::string& label,
               double far_factor);

  void Start(const std::string& process_domain, const runs::StartOrder& order,
             ProcessClock& process_clock,
             std::function<void(const runs::OrderReply&)> done);
  void Stop(const std::string& process_domain, const runs::OrderTarget& target,
            const std::string& task, std::uint64_t run,
            ProcessClock& process_clock,
            std::function<void(const runs::OrderReply&)> done);
  void Poll(const std::string& process_domain, const runs::PollOrder& order,
            ProcessClock& process_clock,
            std::function<void(const runs::PollReply&)> done);

  /// Calls `log` with one line for each order when it is carried out, and for
  /// each end of a run and each restart.
  void SetLog(std::function<void(const std::string&)> new_log) {
    this->log = std::move(new_log);
  }

  /// Receives the id of the endpoint where a task starts, and the time at which
  /// the order arrived, before it was delayed by Faults.
  using StartListener =
      std::function<void(const std::string& endpoint, base::TimePoint arrival)>;
  void SetStartListener(StartListener on_start) {
    this->start_listener = std::move(on_start);
  }

  /// Receives the end of each run that a restart of its endpoint did not end.
  using EndListener =
      std::function<void(const std::string& payload, base::TimePoint started,
                         runs::RunEndKind kind)>;
  void SetEndListener(EndListener on_end) {
    this->end_listener = std::move(on_end);
  }

  /// Two runs of a task that were at work at the same time.
  struct Overlap {
    std::string payload;
    base::TimePoint first_started;
    base::TimePoint second_started;
  };
  const std::vector<Overlap>& Overlaps() const { return this->overlaps; }

  /// Number of starts that were carried out and whose answer a fault dropped.
  std::uint64_t UnansweredStarts() const { return this->unanswered_starts; }

  /// Descriptions of all violations so far.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }

  std::uint64_t Starts() const { return this->starts; }

  /// Number of started runs of tasks with this payload.
  std::uint64_t StartsOf(const std::string& payload) const {
    const auto found = this->starts_of.find(payload);
    return found == this->starts_of.end() ? 0 : found->second;
  }

  /// Number of runs of tasks with this payload that ended as kDone.
  std::uint64_t DoneOf(const std::string& payload) const {
    const auto found = this->done_of.find(payload);
    return found == this->done_of.end() ? 0 : found->second;
  }
  std::uint64_t Ends() const { return this->ends; }
  std::size_t RunningAt(const std::string& id) const;
  /// Start of the endpoint's incarnation as its lists of runs name it.
  std::int64_t IncarnationOf(const std::string& id) const;

  /// Sets the thousandths of a core that a task with this payload needs; the
  /// capacity check uses it.
  void SetCpu(const std::string& payload, std::int64_t cpu_milli) {
    this->cpu[payload] = cpu_milli;
  }

 private:
  using RunKey = std::pair<std::string, std::uint64_t>;

  struct Run {
    std::string payload;
    base::TimePoint started;
    base::Duration time{0};
    runs::RunEndKind end = runs::RunEndKind::kDone;
    bool stopping = false;
    base::TimerId timer = 0;
  };

  /// Poll that waits for a run to end.
  struct Waiter {
    std::uint64_t id = 0;
    std::function<void()> answer;
  };

  /// Order in flight, with its connection.
  struct Call {
    std::uint64_t incarnation = 0;
    /// Runs a callback in the sender.
    ProcessClock::Runner run;
    /// Reports to the sender that there is no answer. Does nothing after an
    /// answer.
    std::function<void()> fail;
    /// Whether the connection has ended, so that no answer arrives.
    bool ended = false;
    /// Whether the order was lost with its connection.
    bool lost = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  struct Endpoint {
    catalog::EndpointEntry entry;
    /// Factor on the run time of every task.
    double pace = 1;
    /// Speed of the endpoint's clock.
    double clock_rate = 1;
    bool silent = false;
    bool stops_lost = false;
    bool down = false;
    CrashKind crash_kind = CrashKind::kSilent;
    std::vector<std::weak_ptr<Call>> calls;
    std::uint64_t incarnation = 1;
    std::uint64_t fence = 0;
    base::TimePoint start_time;
    std::map<RunKey, Run> runs;
    std::map<std::string, std::uint64_t> highest_ended;
    std::vector<runs::EndedRun> ended;
    std::uint64_t next_end = 1;
    /// Expiry of the lease in milliseconds on the endpoint's clock.
    std::int64_t lease_end_ms = 0;
    base::TimerId lease_timer = 0;
    std::vector<Waiter> waiters;
  };

  struct TaskPlan {
    base::Duration time{0};
    runs::RunEndKind kind = runs::RunEndKind::kDone;
    std::string near_label;
    double far_factor = 1;
  };

  /// Delivers an order: runs `handle` with its endpoint, unless the endpoint is
  /// unreachable. `on_timeout` runs in the process when the order's timeout
  /// expires or its connection ends, also after an answer.
  void Send(const std::string& process_domain, const runs::OrderTarget& target,
            ProcessClock& process_clock,
            std::function<void(Endpoint&, const CallPointer&)> handle,
            std::function<void()> on_timeout);
  /// Delivers an order that has arrived.
  void Deliver(
      const std::string& process_domain, const runs::OrderTarget& target,
      bool late, const CallPointer& call,
      const std::function<void(Endpoint&, const CallPointer&)>& handle);
  /// Runs `answer` in the sender of an order, unless its connection has ended.
  void SendAnswer(const CallPointer& call, std::function<void()> answer);
  void EndConnection(const CallPointer& call);
  /// Returns the id of the endpoint at the address of an order.
  std::string IdAt(const runs::OrderTarget& target) const;
  base::Duration TransitTime();
  void Reset(Endpoint& endpoint);
  std::int64_t ClockOf(const Endpoint& endpoint) const;
  /// Returns a reply without the incarnation, which only lists of runs carry.
  runs::OrderReply ReplyOf(const Endpoint& endpoint,
                           runs::OrderOutcome outcome) const;
  /// Checks the expected id, which a restart does not change here, and the
  /// fencing token. Stores the token of an accepted order.
  runs::OrderOutcome Admit(Endpoint& endpoint, const runs::OrderTarget& target);
  runs::OrderReply HandleStart(Endpoint& endpoint,
                               const runs::StartOrder& order);
  /// Carries out a stop order.
  runs::OrderReply HandleStop(Endpoint& endpoint,
                              const runs::OrderTarget& target,
                              const std::string& task, std::uint64_t run);
  /// Returns whether a fault with this probability occurs. Draws a random
  /// number only for faults that are on.
  bool Occurs(double probability) {
    return probability > 0 && this->random.Chance(probability);
  }
  /// Ends a run and answers the waiting polls. Takes the key by value, because
  /// callers pass a reference into the map entry that is erased.
  void End(Endpoint& endpoint, RunKey key, runs::RunEndKind kind);
  void RenewLease(Endpoint& endpoint, std::int64_t until_ms);
  void Log(const Endpoint& endpoint, const std::string& event) const;
  /// Records the violations that a new run causes.
  void CheckStart(const Endpoint& endpoint, const RunKey& key);
  bool IsReachable(const std::string& process_domain,
                   const Endpoint& endpoint) const;

  base::Clock& clock;
  Random& random;
  Faults faults;
  bool late_after_restart = true;
  std::map<std::string, Endpoint> endpoints;
  /// Ids of the endpoints that replaced others, by address.
  std::map<std::string, std::string> replacements;
  std::set<std::pair<std::string, std::string>> partitions;
  std::map<std::string, TaskPlan> plans;
  /// Thousandths of a core by payload.
  std::map<std::string, std::int64_t> cpu;
  std::vector<std::string> violations;
  std::function<void(const std::string&)> log;
  StartListener start_listener;
  EndListener end_listener;
  std::vector<Overlap> overlaps;
  std::uint64_t unanswered_starts = 0;
  std::uint64_t starts = 0;
  std::map<std::string, std::uint64_t> starts_of;
  std::map<std::string, std::uint64_t> done_of;
  std::uint64_t ends = 0;
  std::uint64_t next_waiter = 1;
};

}  // namespace hawthornwheel::testing
