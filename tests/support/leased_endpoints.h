#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "catalog/endpoint_entry.h"
#include "runs/endpoint_orders.h"
#include "support/process_clock.h"
#include "support/random.h"

namespace hawthornwheel::testing {

/// Endpoints of a test that run tasks under leases and fencing tokens, and
/// that do not guard their capacity. It notes each promise that is broken.
class LeasedEndpoints {
 public:
  /// How orders to all endpoints fare.
  struct Faults {
    /// Share of orders that get no answer and are carried out later.
    double late = 0;
    base::Duration min_delay{2'000'000};
    base::Duration max_delay{12'000'000};
    /// Share of orders that are carried out, but whose answer is lost.
    double answer_lost = 0;
  };

  /// References must outlive the endpoints.
  LeasedEndpoints(base::Clock& clock, Random& random);

  /// Adds an endpoint that takes `pace` times a task's run time.
  void Add(const catalog::EndpointEntry& entry, double pace = 1);

  /// Ends all runs of an endpoint and forgets its tokens.
  void Restart(const std::string& id);

  /// Lets no order through to an endpoint, or does again.
  void SetSilent(const std::string& id, bool silent);

  /// Cuts or heals the way between processes of one domain and endpoints of
  /// another.
  void Partition(const std::string& process_domain, const std::string& domain);
  void HealAll() { this->partitions.clear(); }

  void SetFaults(const Faults& new_faults) { this->faults = new_faults; }

  /// Makes the run of a task end as `kind` after `time`, by its payload.
  void SetTask(const std::string& payload, base::Duration time,
               runs::RunEndKind kind);

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

  /// Broken promises, in words.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }

  std::uint64_t Starts() const { return this->starts; }

  /// Starts of tasks with this payload.
  std::uint64_t StartsOf(const std::string& payload) const {
    const auto found = this->starts_of.find(payload);
    return found == this->starts_of.end() ? 0 : found->second;
  }

  /// Runs of tasks with this payload that ended well.
  std::uint64_t DoneOf(const std::string& payload) const {
    const auto found = this->done_of.find(payload);
    return found == this->done_of.end() ? 0 : found->second;
  }
  std::uint64_t Ends() const { return this->ends; }
  std::size_t RunningAt(const std::string& id) const;

  /// What a task with this payload needs; for the check of capacity.
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

  struct Waiter {
    std::uint64_t id = 0;
    std::function<void()> answer;
  };

  struct Endpoint {
    catalog::EndpointEntry entry;
    double pace = 1;
    bool silent = false;
    std::uint64_t incarnation = 1;
    std::uint64_t fence = 0;
    base::TimePoint start_time;
    std::map<RunKey, Run> runs;
    std::map<std::string, std::uint64_t> highest_ended;
    std::vector<runs::EndedRun> ended;
    std::uint64_t next_end = 1;
    std::int64_t lease_end_ms = 0;
    base::TimerId lease_timer = 0;
    std::vector<Waiter> waiters;
  };

  struct TaskPlan {
    base::Duration time{0};
    runs::RunEndKind kind = runs::RunEndKind::kDone;
  };

  /// Carries an order to its endpoint; `handle` runs there.
  void Send(const std::string& process_domain, const runs::OrderTarget& target,
            ProcessClock& process_clock, std::function<void(Endpoint&)> handle,
            std::function<void()> on_timeout);
  std::int64_t ClockOf(const Endpoint& endpoint) const;
  runs::OrderReply ReplyOf(const Endpoint& endpoint,
                           runs::OrderOutcome outcome) const;
  runs::OrderOutcome Admit(Endpoint& endpoint, const runs::OrderTarget& target);
  runs::OrderReply HandleStart(Endpoint& endpoint,
                               const runs::StartOrder& order);
  /// Takes a copy of the key, since callers name it by the run that ends.
  void End(Endpoint& endpoint, RunKey key, runs::RunEndKind kind);
  void RenewLease(Endpoint& endpoint, std::int64_t until_ms);
  void CheckStart(const Endpoint& endpoint, const RunKey& key);
  bool IsReachable(const std::string& process_domain,
                   const Endpoint& endpoint) const;

  base::Clock& clock;
  Random& random;
  Faults faults;
  std::map<std::string, Endpoint> endpoints;
  std::set<std::pair<std::string, std::string>> partitions;
  std::map<std::string, TaskPlan> plans;
  std::map<std::string, std::int64_t> cpu;
  std::vector<std::string> violations;
  std::uint64_t starts = 0;
  std::map<std::string, std::uint64_t> starts_of;
  std::map<std::string, std::uint64_t> done_of;
  std::uint64_t ends = 0;
  std::uint64_t next_waiter = 1;
};

}  // namespace hawthornwheel::testing
