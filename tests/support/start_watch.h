#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "runs/endpoint_orders.h"
#include "runs/run_settings.h"
#include "support/process_clock.h"

namespace hawthornwheel::testing {

/// Passes the orders of the sessions of one process on, and checks from the
/// orders and answers alone that no start without an answer stays unsettled:
///
/// - A start is followed by a poll with a higher token within a bound.
/// - The first list of runs that lacks a start with a lower token settles it.
class StartWatch final : public runs::EndpointOrders {
 public:
  struct Handlers {
    /// Returns whether the session counts its endpoint as reachable.
    std::function<bool()> is_reachable;
    /// Called after the session has received a list of runs that is newer than
    /// the others that it has received.
    std::function<void()> on_list;
    std::function<void(const std::string&)> on_violation;
  };

  /// References must outlive the watch.
  StartWatch(ProcessClock& clock, runs::EndpointOrders& orders,
             const runs::RunSettings& settings, Handlers handlers)
      : clock(clock),
        orders(orders),
        settings(settings),
        handlers(std::move(handlers)) {}

  /// A new session of the process sends orders from now on.
  void OnClaim();
  /// The session has reported the end of a run.
  void OnEnd(const std::string& task, std::uint64_t run) {
    this->starts.erase({task, run});
  }
  /// The process runs again after a pause.
  void OnResume() { this->resumed = this->clock.Now(); }

  void Start(const runs::StartOrder& order,
             std::function<void(const runs::OrderReply&)> done) override;
  void Stop(const runs::OrderTarget& target, const std::string& task,
            std::uint64_t run,
            std::function<void(const runs::OrderReply&)> done) override;
  void Poll(const runs::PollOrder& order,
            std::function<void(const runs::PollReply&)> done) override;

 private:
  using RunKey = std::pair<std::string, std::uint64_t>;

  struct SentStart {
    std::uint64_t number = 0;
    std::uint64_t fence = 0;
    /// Time of the start or of the latest stop, which settles it too.
    base::TimePoint last_order;
    /// Whether the session knows that the endpoint has carried it out.
    bool carried_out = false;
  };

  base::Duration MaxUncheckedTime() const;
  void CheckAt(base::TimePoint time, const RunKey& key, std::uint64_t number);
  void OnPollReply(const runs::PollOrder& order, const runs::PollReply& reply,
                   const std::function<void(const runs::PollReply&)>& done);

  ProcessClock& clock;
  runs::EndpointOrders& orders;
  const runs::RunSettings& settings;
  Handlers handlers;
  std::map<RunKey, SentStart> starts;
  std::uint64_t last_number = 0;
  std::uint64_t session = 0;
  /// Highest token of a poll of the session.
  std::uint64_t polled_fence = 0;
  /// Newest incarnation that a list of runs has named, in Unix milliseconds.
  std::int64_t incarnation_start_ms = 0;
  /// Endpoint's clock in milliseconds at the newest list of runs.
  std::int64_t list_clock_ms = 0;
  base::TimePoint resumed;
};

}  // namespace hawthornwheel::testing
