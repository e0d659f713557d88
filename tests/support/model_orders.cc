#include "support/model_orders.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <memory>
#include <utility>

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kOneWayDelay{500};
constexpr base::Duration kClosingTime = milliseconds(1);

struct Fate {
  const char* name;
  /// Whether the endpoint gets the order, after `delay`.
  bool delivered;
  base::Duration delay;
  /// Whether the connection ends at once.
  bool closes;
  /// Whether the answer arrives, after `answer_delay`.
  bool answered;
  base::Duration answer_delay;
};

constexpr std::array<Fate, 11> kFates = {{
    {"answered", true, kOneWayDelay, false, true, kOneWayDelay},
    {"closed", true, kOneWayDelay, true, false, kOneWayDelay},
    {"lost, closed", false, kOneWayDelay, true, false, kOneWayDelay},
    {"no answer", true, kOneWayDelay, false, false, kOneWayDelay},
    {"lost", false, kOneWayDelay, false, false, kOneWayDelay},
    {"late 120 ms", true, milliseconds(120), false, true, kOneWayDelay},
    {"late 30 ms, closed", true, milliseconds(30), true, false, kOneWayDelay},
    {"late 800 ms, closed", true, milliseconds(800), true, false, kOneWayDelay},
    {"late 2500 ms", true, milliseconds(2'500), false, false, kOneWayDelay},
    {"answer after 20 ms", true, kOneWayDelay, false, true, milliseconds(20)},
    {"answer after 140 ms", true, kOneWayDelay, false, true, milliseconds(140)},
}};

constexpr Fate kCutFate = {"cut off", false, kOneWayDelay,
                           false,     false, kOneWayDelay};

std::string Describe(const runs::OrderReply& reply) {
  return fmt::format("{} clock={}", runs::NameOf(reply.outcome),
                     reply.clock_ms);
}

std::string Describe(const runs::PollReply& reply) {
  std::string text = Describe(reply.order);
  for (const auto& run : reply.running) {
    text += fmt::format(" {}/{}", run.task, run.run);
  }
  for (const auto& run : reply.ended) {
    text += fmt::format(" ended:{}/{}", run.task, run.run);
  }
  return text;
}

}  // namespace

template <typename Reply>
void ModelOrders::Send(
    const std::string& what, base::Duration timeout,
    std::function<void(const Reply&)> done,
    std::function<void(const ModelEndpoint::Answer<Reply>&)> execute) {
  const Fate& fate = this->IsCut()
                         ? kCutFate
                         : kFates[static_cast<std::size_t>(this->choices.Choose(
                               static_cast<int>(kFates.size())))];
  if (this->trace) this->trace(what + ": " + fate.name);
  const auto run_in_process = this->process_clock.GetRunner();
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [this, what, answered, done,
                       run_in_process](const Reply& reply) {
    run_in_process([this, what, answered, done, reply] {
      if (std::exchange(*answered, true)) return;
      if (this->trace) this->trace(what + " -> " + Describe(reply));
      done(reply);
    });
  };
  const auto fail = [answer] { answer(Reply{}); };
  this->clock.StartTimer(timeout, fail);
  if (fate.closes) this->clock.StartTimer(kClosingTime, fail);
  if (!fate.delivered) return;
  // An order that is sent while the endpoint is down reaches its next
  // incarnation only if it is late.
  const std::int64_t incarnation =
      this->endpoint.IsUp() ? this->endpoint.IncarnationStart() : 0;
  this->clock.StartTimer(
      fate.delay, [this, what, &fate, answer, fail, execute, incarnation] {
        const bool late = fate.delay > kOneWayDelay;
        if (this->IsCut() && !late) return;
        if (!this->endpoint.IsUp()) {
          this->clock.StartTimer(kOneWayDelay, fail);
          return;
        }
        if (this->trace && late) this->trace(what + " arrives");
        this->carries_earlier_order =
            incarnation != this->endpoint.IncarnationStart();
        execute([this, &fate, answer](const std::optional<Reply>& reply) {
          if (!fate.answered) return;
          this->clock.StartTimer(fate.answer_delay, [this, answer, reply] {
            if (!this->IsCut()) answer(reply.value_or(Reply{}));
          });
        });
        this->carries_earlier_order = false;
      });
}

void ModelOrders::Start(const runs::StartOrder& order,
                        std::function<void(const runs::OrderReply&)> done) {
  this->Send<runs::OrderReply>(
      this->trace ? fmt::format("start {}/{} fence={:x}", order.task, order.run,
                                order.target.fence)
                  : "",
      order.target.timeout, std::move(done),
      [this, order](const ModelEndpoint::Answer<runs::OrderReply>& answer) {
        this->endpoint.Start(order, answer);
      });
}

void ModelOrders::Stop(const runs::OrderTarget& target, const std::string& task,
                       std::uint64_t run,
                       std::function<void(const runs::OrderReply&)> done) {
  this->Send<runs::OrderReply>(
      this->trace
          ? fmt::format("stop {}/{} fence={:x}", task, run, target.fence)
          : "",
      target.timeout, std::move(done),
      [this, target, task,
       run](const ModelEndpoint::Answer<runs::OrderReply>& answer) {
        this->endpoint.Stop(target, {task, run}, answer);
      });
}

void ModelOrders::Poll(const runs::PollOrder& order,
                       std::function<void(const runs::PollReply&)> done) {
  ++this->polls;
  this->Send<runs::PollReply>(
      this->trace
          ? fmt::format("poll fence={:x} wait={} acked={}", order.target.fence,
                        order.wait.count() / 1000, order.acked_end_seq)
          : "",
      order.target.timeout, std::move(done),
      [this, order](const ModelEndpoint::Answer<runs::PollReply>& answer) {
        this->endpoint.Poll(order, answer);
      });
}

}  // namespace hawthornwheel::testing
