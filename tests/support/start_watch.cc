#include "support/start_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <vector>

namespace hawthornwheel::testing {

void StartWatch::OnClaim() {
  ++this->session;
  this->starts.clear();
  this->polled_fence = 0;
  this->incarnation_start_ms = 0;
  this->list_clock_ms = 0;
}

// The recheck of a start is due after `recheck_after`. One that is in progress
// then ends within `answer_time`; if the loss of its answer is not noticed, the
// next poll takes its place, which may wait at the endpoint.
base::Duration StartWatch::MaxUncheckedTime() const {
  return this->settings.recheck_after + 2 * this->settings.answer_time +
         this->settings.poll_wait;
}

void StartWatch::Start(const runs::StartOrder& order,
                       std::function<void(const runs::OrderReply&)> done) {
  const RunKey key{order.task, order.run};
  const std::uint64_t number = ++this->last_number;
  this->starts[key] = {number, order.target.fence, this->clock.Now(), false};
  this->CheckAt(this->clock.Now() + this->MaxUncheckedTime(), key, number);
  this->orders.Start(order, [this, key, number, done = std::move(done)](
                                const runs::OrderReply& reply) {
    const auto found = this->starts.find(key);
    if (found != this->starts.end() && found->second.number == number &&
        reply.outcome == runs::OrderOutcome::kAccepted) {
      found->second.carried_out = true;
    }
    done(reply);
  });
}

void StartWatch::CheckAt(base::TimePoint time, const RunKey& key,
                         std::uint64_t number) {
  this->clock.StartTimer(time - this->clock.Now(), [this, key, number] {
    const auto found = this->starts.find(key);
    if (found == this->starts.end() || found->second.number != number) return;
    const SentStart& start = found->second;
    if (start.carried_out || this->polled_fence > start.fence ||
        !this->handlers.is_reachable()) {
      return;
    }
    const base::TimePoint due =
        std::max(start.last_order, this->resumed) + this->MaxUncheckedTime();
    if (this->clock.Now() < due) {
      this->CheckAt(due, key, number);
      return;
    }
    this->handlers.on_violation(
        fmt::format("{}/{} is not rechecked", key.first, key.second));
  });
}

void StartWatch::Stop(const runs::OrderTarget& target, const std::string& task,
                      std::uint64_t run,
                      std::function<void(const runs::OrderReply&)> done) {
  const auto found = this->starts.find({task, run});
  if (found != this->starts.end()) found->second.last_order = this->clock.Now();
  this->orders.Stop(target, task, run, std::move(done));
}

void StartWatch::Poll(const runs::PollOrder& order,
                      std::function<void(const runs::PollReply&)> done) {
  this->polled_fence = std::max(this->polled_fence, order.target.fence);
  this->orders.Poll(order,
                    [this, order, done = std::move(done),
                     session = this->session](const runs::PollReply& reply) {
                      if (session != this->session) {
                        done(reply);
                        return;
                      }
                      this->OnPollReply(order, reply, done);
                    });
}

void StartWatch::OnPollReply(
    const runs::PollOrder& order, const runs::PollReply& reply,
    const std::function<void(const runs::PollReply&)>& done) {
  const std::int64_t incarnation = reply.order.incarnation_start_ms;
  const bool restarted = this->incarnation_start_ms != 0 &&
                         incarnation > this->incarnation_start_ms;
  if (restarted) {
    // Starts that were accepted may have gone to the earlier incarnation. This
    // list was made under a token of a claim of the earlier one.
    for (auto& [key, start] : this->starts) start.carried_out = false;
    this->list_clock_ms = 0;
  }
  const bool is_newest = reply.order.outcome == runs::OrderOutcome::kAccepted &&
                         !restarted &&
                         incarnation >= this->incarnation_start_ms &&
                         reply.order.clock_ms >= this->list_clock_ms;
  this->incarnation_start_ms =
      std::max(this->incarnation_start_ms, incarnation);
  if (!is_newest) {
    done(reply);
    return;
  }
  this->list_clock_ms = reply.order.clock_ms;
  std::set<RunKey> listed;
  for (const runs::ActiveRun& run : reply.running) {
    listed.insert({run.task, run.run});
  }
  std::vector<std::pair<RunKey, std::uint64_t>> rejected;
  for (auto& [key, start] : this->starts) {
    if (listed.contains(key)) {
      start.carried_out = true;
    } else if (!start.carried_out && start.fence < order.target.fence) {
      rejected.emplace_back(key, start.number);
    }
  }
  done(reply);
  for (const auto& [key, number] : rejected) {
    const auto found = this->starts.find(key);
    if (found == this->starts.end() || found->second.number != number) continue;
    this->handlers.on_violation(fmt::format(
        "{}/{} is not settled by a list without it", key.first, key.second));
  }
  this->handlers.on_list();
}

}  // namespace hawthornwheel::testing
