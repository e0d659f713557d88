#include "support/order_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>

#include "runs/resend_time.h"

namespace hawthornwheel::testing {
namespace {

using runs::EndpointSession;
using runs::RunOutcome;
using runs::SessionState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kCapacity = 16'000;
constexpr base::Duration kEntryDelay = milliseconds(450);
constexpr base::Duration kReconcileInterval = milliseconds(200);
constexpr base::Duration kFencedClaimBackoff = milliseconds(3'000);
constexpr base::Duration kPlaceRetry = milliseconds(20);
constexpr base::Duration kPlaceTime = seconds(8);
constexpr std::uint64_t kStaleRunSkip = 8;
constexpr int kSteps = 9;
constexpr base::Duration kSettleTime = seconds(25);
constexpr base::Duration kIdleTime = seconds(3);
constexpr std::array<base::Duration, 4> kGaps = {
    milliseconds(20), milliseconds(1), milliseconds(90), milliseconds(300)};

enum Event {
  kNothing,
  kRestartClosed,
  kRestartSilent,
  kLongRestartClosed,
  kLongRestartSilent,
  kStopLatest,
  kClaimBySecond,
  kShortPause,
  kLongPause,
  kShortCut,
  kLongCut,
  kEventCount,
};

}  // namespace

OrderWorld::Process::Process(OrderWorld& world, const std::string& name)
    : name(name),
      clock(world.clock),
      orders(
          world.clock, this->clock, world.endpoint, world.choices,
          world.setup.traced
              ? [&world, name](
                    const std::string& text) { world.Note(name + ": " + text); }
              : std::function<void(const std::string&)>{}),
      watch(this->clock, this->orders, world.settings,
            {[this] {
               const SessionState state = this->session->State();
               return state == SessionState::kReady ||
                      state == SessionState::kClaiming;
             },
             [&world, this] { world.OnList(*this); },
             [&world](const std::string& text) { world.Violate(text); }}),
      tokens(name),
      claim_at(world.clock.Now()) {}

OrderWorld::OrderWorld(Choices& choices, const Setup& setup)
    : choices(choices),
      setup(setup),
      endpoint(this->clock, "e", setup.slow_clock,
               [this](const RunKey& key) { this->OnStart(key); }),
      reconcile_timer(this->clock) {
  if (setup.lease_on_arrival) this->endpoint.GrantLeasesOnArrival();
  this->entry.id = "e";
  this->entry.address = "10.0.0.1:1";
  this->entry.capacity = {kCapacity, 1'000, 0};
  this->entry.incarnation_start_ms = this->endpoint.IncarnationStart();
  const std::array<base::Duration, 5> times = {
      milliseconds(30), milliseconds(600), milliseconds(150), milliseconds(60),
      milliseconds(1'500)};
  for (std::size_t i = 0; i < times.size(); ++i) {
    Task task;
    task.name = std::string(1, static_cast<char>('a' + i));
    task.resources = {7'000, 1, 0};
    task.process = setup.two_claims ? i % 2 : 0;
    this->endpoint.SetTask(task.name, {task.resources.cpu_milli, times[i]});
    this->cpu[task.name] = task.resources.cpu_milli;
    this->tasks.push_back(task);
  }
  for (const char* name : {"p1", "p2"}) {
    this->processes.push_back(std::make_unique<Process>(*this, name));
  }
  this->reconcile_timer.StartPeriodic(kReconcileInterval,
                                      [this] { this->Reconcile(); });
}

void OrderWorld::Play() {
  this->Claim(*this->processes[0]);
  if (this->setup.two_claims) {
    if (this->choices.Choose(2) == 1) this->clock.Advance(milliseconds(1));
    this->Claim(*this->processes[1]);
  }
  for (int step = 0; step < kSteps; ++step) {
    this->clock.Advance(kGaps[static_cast<std::size_t>(
        this->choices.Choose(static_cast<int>(kGaps.size())))]);
    if (step % 2 == 0) this->PlaceNext();
    this->PlayEvent(this->choices.Choose(kEventCount));
  }
  this->clock.Advance(seconds(1));
  this->choices.End();
  this->clock.Advance(kSettleTime);
  this->CheckEnd();
}

void OrderWorld::Claim(Process& process) {
  if (process.session) return;
  this->Note(process.name + ": claims");
  process.watch.OnClaim();
  process.session = std::make_unique<EndpointSession>(
      EndpointSession::Parts{process.clock, process.watch, process.metrics,
                             this->settings, process.tokens},
      this->entry, process.last_fence, EndpointSession::ClaimMode::kAtOnce,
      [] {});
}

// Does what the pool does with its sessions.
void OrderWorld::Reconcile() {
  const base::TimePoint now = this->clock.Now();
  bool held = false;
  for (const auto& process : this->processes) {
    if (process->clock.IsPaused()) {
      held = true;
      continue;
    }
    if (!process->session) continue;
    process->session->UpdateEntry(this->entry);
    if (process->session->State() != SessionState::kFencedOff) {
      held = true;
    } else {
      process->claim_at = now + kFencedClaimBackoff;
      if (process->session->RunCount() > 0) continue;
      process->last_fence = process->session->Fence();
      process->session.reset();
    }
  }
  if (held) return;
  for (const auto& process : this->processes) {
    if (process->session || now < process->claim_at) continue;
    this->Claim(*process);
    return;
  }
}

void OrderWorld::PlaceNext() {
  if (this->next_task >= this->tasks.size()) return;
  const std::size_t index = this->next_task++;
  this->tasks[index].give_up_at = this->clock.Now() + kPlaceTime;
  this->TryPlace(index);
}

void OrderWorld::TryPlace(std::size_t index) {
  Task& task = this->tasks[index];
  for (std::size_t i = 0; i < this->processes.size(); ++i) {
    Process& process =
        *this->processes[(task.process + i) % this->processes.size()];
    if (this->PlaceAt(process, index)) return;
  }
  if (this->clock.Now() >= task.give_up_at) {
    task.ended = true;
    return;
  }
  this->clock.StartTimer(kPlaceRetry, [this, index] { this->TryPlace(index); });
}

bool OrderWorld::PlaceAt(Process& process, std::size_t index) {
  Task& task = this->tasks[index];
  if (!process.session || process.clock.IsPaused()) return false;
  runs::TaskOrder order;
  order.task = task.name;
  order.run = task.run;
  order.endpoint = "e";
  order.incarnation_start_ms = process.session->Entry().incarnation_start_ms;
  order.resources = task.resources;
  order.estimate = milliseconds(100);
  order.time_left = seconds(60);
  runs::RunHandlers handlers;
  handlers.on_end = [this, &process, index,
                     run = task.run](RunOutcome outcome) {
    process.watch.OnEnd(this->tasks[index].name, run);
    this->OnEnd(index, run, outcome);
  };
  // The session may end the run before Start() returns.
  task.placed = true;
  if (process.session->Start(order, std::move(handlers))) return true;
  task.placed = false;
  return false;
}

void OrderWorld::OnEnd(std::size_t index, std::uint64_t run,
                       RunOutcome outcome) {
  Task& task = this->tasks[index];
  const RunKey key{task.name, run};
  this->Note(
      fmt::format("{}/{} ended as {}", key.first, run, runs::NameOf(outcome)));
  this->ended_runs.insert(key);
  if (outcome == RunOutcome::kNotRun) this->refused_runs.insert(key);
  if (this->endpoint.IsAtWork(key)) {
    if (this->overtaken_runs.contains(key)) this->is_open = true;
    this->Violate(fmt::format("{}/{} counts as {} while it is at work",
                              key.first, run, runs::NameOf(outcome)));
  }
  task.placed = false;
  if (outcome == RunOutcome::kDone || outcome == RunOutcome::kFailed) {
    task.ended = true;
    return;
  }
  task.run += outcome == RunOutcome::kStaleRun ? 1 + kStaleRunSkip : 1;
  this->clock.StartTimer(milliseconds(1),
                         [this, index] { this->TryPlace(index); });
}

void OrderWorld::OnStart(const RunKey& key) {
  this->Note(fmt::format("{}/{} starts", key.first, key.second));
  // Such a run must not start even after a restart of the endpoint.
  if (this->refused_runs.contains(key)) {
    this->Record(fmt::format("{}/{} starts though it ended as not_run",
                             key.first, key.second),
                 this->violations);
  }
  const bool earlier = std::any_of(
      this->processes.begin(), this->processes.end(),
      [](const auto& item) { return item->orders.CarriesEarlierOrder(); });
  const bool ended = this->ended_runs.contains(key);
  const std::uint64_t other = this->endpoint.OtherRunOf(key);
  const bool exceeds =
      this->endpoint.UsedCpu() + this->cpu.at(key.first) > kCapacity;
  if (earlier) {
    this->overtaken_runs.insert(key);
    if (ended || other != 0 || exceeds) this->is_open = true;
  }
  if (ended) {
    this->Violate(fmt::format("{}/{} starts after it was settled", key.first,
                              key.second));
  }
  if (other != 0) {
    this->Violate(
        fmt::format("{} runs twice: {} and {}", key.first, other, key.second));
  }
  if (exceeds) {
    this->Violate(
        fmt::format("capacity is exceeded by {}/{}", key.first, key.second));
  }
}

// A session that holds the endpoint offers no resources that a run is using.
void OrderWorld::OnList(const Process& process) {
  if (!process.session) return;
  const EndpointSession& session = *process.session;
  if (session.State() != SessionState::kReady ||
      session.Fence() != this->endpoint.Fence() || !this->endpoint.IsUp()) {
    return;
  }
  const std::int64_t free = session.Free().cpu_milli;
  if (free + this->endpoint.UsedCpu() <= kCapacity) return;
  if (std::any_of(
          this->overtaken_runs.begin(), this->overtaken_runs.end(),
          [this](const RunKey& key) { return this->endpoint.IsAtWork(key); })) {
    this->is_open = true;
  }
  this->Violate(process.name + " offers resources that a run is using");
}

void OrderWorld::PlayEvent(int event) {
  switch (event) {
    case kRestartClosed:
      return this->Restart(milliseconds(60), true);
    case kRestartSilent:
      return this->Restart(milliseconds(60), false);
    case kLongRestartClosed:
      return this->Restart(milliseconds(1'500), true);
    case kLongRestartSilent:
      return this->Restart(milliseconds(1'500), false);
    case kStopLatest:
      return this->StopLatest();
    case kClaimBySecond:
      return this->Claim(*this->processes[1]);
    case kShortPause:
      return this->Pause(0, milliseconds(300));
    case kLongPause:
      return this->Pause(0, milliseconds(3'000));
    case kShortCut:
      return this->Cut(0, milliseconds(400));
    case kLongCut:
      return this->Cut(0, milliseconds(1'500));
    default:
      return;
  }
}

void OrderWorld::Restart(base::Duration down, bool closes) {
  if (!this->endpoint.IsUp()) return;
  this->Note(fmt::format("endpoint restarts, down for {} ms, {}",
                         down / milliseconds(1),
                         closes ? "connections end" : "silent"));
  this->endpoint.Restart(down, closes);
  this->clock.StartTimer(down + kEntryDelay, [this] {
    this->entry.incarnation_start_ms = this->endpoint.IncarnationStart();
  });
}

void OrderWorld::Pause(std::size_t index, base::Duration span) {
  Process& process = *this->processes[index];
  if (process.clock.IsPaused()) return;
  this->Note(fmt::format("{}: pauses for {} ms", process.name,
                         span / milliseconds(1)));
  process.clock.Pause();
  this->clock.StartTimer(span, [this, &process] {
    this->Note(process.name + ": resumes");
    process.watch.OnResume();
    process.clock.Resume();
  });
}

void OrderWorld::Cut(std::size_t index, base::Duration span) {
  Process& process = *this->processes[index];
  this->Note(fmt::format("{}: is cut off for {} ms", process.name,
                         span / milliseconds(1)));
  process.orders.Cut(span);
}

void OrderWorld::StopLatest() {
  for (std::size_t i = this->next_task; i > 0; --i) {
    const Task& task = this->tasks[i - 1];
    if (!task.placed) continue;
    this->Note(fmt::format("{}/{} is to stop", task.name, task.run));
    const RunKey key{task.name, task.run};
    std::optional<base::TimePoint> end_by;
    if (this->setup.jobs_end) {
      end_by = this->clock.Now() + runs::kRunEndLimit;
      this->clock.StartTimer(runs::kRunEndLimit,
                             [this, key] { this->CheckEnded(key); });
    }
    for (const auto& process : this->processes) {
      if (process->session && !process->clock.IsPaused()) {
        process->session->Stop(key.first, key.second, end_by);
      }
    }
    return;
  }
}

// Checks a run whose job has ended so long ago that a copy of it may come.
void OrderWorld::CheckEnded(const RunKey& key) {
  if (!this->endpoint.IsAtWork(key)) return;
  if (this->overtaken_runs.contains(key)) this->is_open = true;
  this->Violate(fmt::format("{}/{} is at work after the end of its job",
                            key.first, key.second));
}

// Everything must have ended, and an idle endpoint is not asked again and
// again.
void OrderWorld::CheckEnd() {
  if (this->endpoint.RunCount() > 0) this->Violate("a run goes on");
  for (const Task& task : this->tasks) {
    if (task.placed) this->Violate(task.name + " was never settled");
  }
  const std::uint64_t polls = this->Polls();
  this->clock.Advance(kIdleTime);
  if (this->Polls() != polls) {
    this->Violate(
        fmt::format("{} polls of the idle endpoint", this->Polls() - polls));
  }
  bool held = false;
  for (const auto& process : this->processes) {
    if (!process->session) continue;
    const SessionState state = process->session->State();
    if (state == SessionState::kReady) held = true;
    if (state == SessionState::kClaiming ||
        state == SessionState::kUnreachable) {
      this->Violate(process->name + " never gets the endpoint");
    }
    const bool ready = process->session->State() == SessionState::kReady;
    if (ready && process->session->Free().cpu_milli != kCapacity) {
      this->Violate(process->name + " counts runs that do not exist");
    }
  }
  if (!held) this->Violate("no process holds the endpoint");
}

std::uint64_t OrderWorld::Polls() const {
  std::uint64_t polls = 0;
  for (const auto& process : this->processes) polls += process->orders.Polls();
  return polls;
}

void OrderWorld::Violate(const std::string& text) {
  this->Record(text, this->is_open ? this->open_violations : this->violations);
}

void OrderWorld::Record(const std::string& text,
                        std::vector<std::string>& list) {
  this->Note("VIOLATION: " + text);
  list.push_back(text);
}

void OrderWorld::Note(const std::string& text) {
  if (!this->setup.traced) return;
  this->trace.push_back(fmt::format(
      "{:8.1f} {}",
      static_cast<double>(this->clock.Now().time_since_epoch().count()) / 1000 -
          1'000'000,
      text));
}

}  // namespace hawthornwheel::testing
