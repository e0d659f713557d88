#include "soak/fault_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <csignal>

namespace hawthornwheel::soak {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kMinFaultInterval = milliseconds(60);
constexpr base::Duration kMaxFaultInterval = milliseconds(700);
constexpr base::Duration kMinFaultDuration = milliseconds(200);
constexpr base::Duration kMaxFaultDuration = milliseconds(4'000);
constexpr base::Duration kProcessCheckInterval = milliseconds(100);
// Time between two series, and between the steps of one.
constexpr base::Duration kMinSeriesInterval = milliseconds(1'000);
constexpr base::Duration kMaxSeriesInterval = milliseconds(4'000);
constexpr base::Duration kMinStepInterval = milliseconds(2);
constexpr base::Duration kMaxStepInterval = milliseconds(300);
constexpr std::uint64_t kMinSeriesSteps = 3;
constexpr std::uint64_t kMaxSeriesSteps = 8;
// Time between two series of cut connections, and between the cuts of one.
constexpr base::Duration kMinCutsInterval = milliseconds(1'500);
constexpr base::Duration kMaxCutsInterval = milliseconds(5'000);
constexpr base::Duration kMinCutInterval = milliseconds(5);
constexpr base::Duration kMaxCutInterval = milliseconds(900);
constexpr base::Duration kMinCutDuration = milliseconds(5);
constexpr base::Duration kMaxCutDuration = milliseconds(250);
constexpr std::uint64_t kMaxCuts = 8;
// Share of the series of cuts with a long outage of the store.
constexpr double kOutageShare = 0.25;
constexpr base::Duration kMinOutage = milliseconds(5'000);
constexpr base::Duration kMaxOutage = milliseconds(9'000);
// Time between two phases of faults of single orders, and their duration.
constexpr base::Duration kMinOrderPhaseInterval = milliseconds(500);
constexpr base::Duration kMaxOrderPhaseInterval = milliseconds(4'000);
constexpr base::Duration kMinOrderPhase = milliseconds(2'000);
constexpr base::Duration kMaxOrderPhase = milliseconds(20'000);
// Maximum shares of the starts and stops that one of these faults affects. A
// stop is sent again every 150 ms, so a run outlives the 1.3 s until its job is
// sent again only if most stops fail.
constexpr double kMaxStartFaultShare = 0.5;
constexpr double kMaxStopFaultShare = 0.95;
// Time between two losses of all stops of some endpoints, and their duration.
constexpr base::Duration kMinLostStopsInterval = milliseconds(500);
constexpr base::Duration kMaxLostStopsInterval = milliseconds(3'000);
constexpr base::Duration kMinLostStops = milliseconds(1'000);
constexpr base::Duration kMaxLostStops = milliseconds(6'000);
constexpr std::uint64_t kMaxEndpointsWithLostStops = 3;
// Wall clocks of processes are ahead or behind by up to this value.
constexpr int kMaxWallOffsetMs = 5'000;

int RandomWallOffset(testing::Random& random) {
  return static_cast<int>(random.Below(2 * kMaxWallOffsetMs)) -
         kMaxWallOffsetMs;
}

}  // namespace

FaultPlan::FaultPlan(SoakEnvironment& environment)
    : environment(environment),
      timer(environment.clock),
      series_random(environment.options.seed),
      series_timer(environment.clock),
      cut_random(environment.options.seed),
      cut_timer(environment.clock),
      order_random(environment.options.seed),
      order_timer(environment.clock),
      lost_stops_random(environment.options.seed),
      lost_stops_timer(environment.clock),
      process_check_timer(environment.clock) {}

void FaultPlan::Start() {
  this->process_check_timer.StartPeriodic(kProcessCheckInterval,
                                          [this] { this->CheckProcesses(); });
  if (!this->environment.options.faults) return;
  this->ScheduleNext();
  this->ScheduleSeries();
  this->ScheduleCuts();
  this->ScheduleOrderPhase();
  this->ScheduleLostStops();
}

void FaultPlan::RecordFault(const std::string& description) {
  ++this->fault_count;
  fmt::print("seed={} fault time_ms={} {}\n", this->environment.options.seed,
             this->environment.clock.WallMilliseconds(), description);
}

SoakMember& FaultPlan::RandomMember() {
  return *this->environment.members[this->environment.random.Below(
      this->environment.members.size())];
}

base::Duration FaultPlan::RandomDuration() {
  return this->environment.random.Between(kMinFaultDuration, kMaxFaultDuration);
}

void FaultPlan::ScheduleNext() {
  this->timer.StartOnce(
      this->environment.random.Between(kMinFaultInterval, kMaxFaultInterval),
      [this] {
        this->InjectFault();
        this->ScheduleNext();
      });
}

void FaultPlan::ScheduleSeries() {
  this->series_timer.StartOnce(
      this->series_random.Between(kMinSeriesInterval, kMaxSeriesInterval),
      [this] {
        this->InjectSeries();
        this->ScheduleSeries();
      });
}

void FaultPlan::InjectSeries() {
  const auto& members = this->environment.members;
  const auto random_member = [this, &members]() -> SoakMember& {
    return *members[this->series_random.Below(members.size())];
  };
  SoakMember& main_member = random_member();
  const std::uint64_t steps =
      kMinSeriesSteps +
      this->series_random.Below(kMaxSeriesSteps - kMinSeriesSteps + 1);
  base::Duration delay{0};
  for (std::uint64_t i = 0; i < steps; ++i) {
    SoakMember& member =
        this->series_random.Chance(0.5) ? main_member : random_member();
    this->environment.clock.StartTimer(
        delay, [this, &member] { this->InjectSeriesStep(member); });
    delay += this->series_random.Between(kMinStepInterval, kMaxStepInterval);
  }
}

// Unlike a single fault, a step may hit a process that is paused or stopping.
void FaultPlan::InjectSeriesStep(SoakMember& member) {
  if (!this->active || !member.process->IsRunning()) return;
  switch (this->series_random.Below(6)) {
    case 0:
    case 1:
      this->RecordFault("series: reload " + member.name);
      member.wall_offset_ms = RandomWallOffset(this->series_random);
      this->environment.WriteSettings(member);
      member.process->Signal(SIGHUP);
      return;
    case 2:
      this->RecordFault("series: stop " + member.name);
      member.stopping = true;
      member.planned_stop = true;
      member.process->Signal(SIGTERM);
      return;
    case 3:
      this->RecordFault("series: kill " + member.name);
      member.stopping = true;
      member.disturbed = true;
      member.process->Signal(SIGKILL);
      return;
    case 4:
      this->RecordFault("series: pause " + member.name);
      this->Pause(member, this->series_random.Between(kMinFaultDuration,
                                                      kMaxFaultDuration));
      return;
    default:
      this->RecordFault("series: publish");
      this->environment.PublishConfiguration();
      return;
  }
}

void FaultPlan::ScheduleCuts() {
  this->cut_timer.StartOnce(
      this->cut_random.Between(kMinCutsInterval, kMaxCutsInterval), [this] {
        this->InjectCuts();
        this->ScheduleCuts();
      });
}

void FaultPlan::InjectCuts() {
  if (this->cut_random.Chance(kOutageShare)) {
    this->RecordFault("cuts: store down");
    this->TakeStoreDown(this->cut_random.Between(kMinOutage, kMaxOutage));
  }
  const std::uint64_t cuts = 1 + this->cut_random.Below(kMaxCuts);
  base::Duration delay{0};
  for (std::uint64_t i = 0; i < cuts; ++i) {
    const std::size_t index =
        this->cut_random.Below(this->environment.endpoints.size());
    const base::Duration duration =
        this->cut_random.Between(kMinCutDuration, kMaxCutDuration);
    this->environment.clock.StartTimer(delay, [this, index, duration] {
      this->CutConnections(index, duration);
    });
    delay += this->cut_random.Between(kMinCutInterval, kMaxCutInterval);
  }
}

void FaultPlan::CutConnections(std::size_t endpoint, base::Duration duration) {
  if (!this->active) return;
  SoakEnvironment::Endpoint& cut = *this->environment.endpoints[endpoint];
  this->RecordFault("cuts: end connections at an answer " + cut.id);
  cut.proxy.SetMode(ProxyMode::kEndAtAnswer);
  this->environment.clock.StartTimer(
      duration, [&cut] { cut.proxy.SetMode(ProxyMode::kPass); });
}

void FaultPlan::TakeStoreDown(base::Duration duration) {
  const base::TimePoint now = this->environment.clock.Now();
  this->store_down_until = std::max(this->store_down_until, now + duration);
  this->environment.store.SetDown("", true);
  this->environment.clock.StartTimer(duration, [this] {
    if (this->environment.clock.Now() < this->store_down_until) return;
    this->environment.store.SetDown("", false);
  });
}

void FaultPlan::Pause(SoakMember& member, base::Duration duration) {
  member.paused = true;
  member.disturbed = true;
  member.process->Signal(SIGSTOP);
  this->environment.clock.StartTimer(duration, [&member] {
    if (member.paused) member.process->Signal(SIGCONT);
    member.paused = false;
  });
}

void FaultPlan::InjectFault() {
  SoakMember& member = this->RandomMember();
  switch (this->environment.random.Below(8)) {
    case 0:
    case 1:
    case 2:
      this->InjectProcessFault(member);
      return;
    case 3:
      this->InjectProxyFault(member.peer_proxy, member.name + " peers");
      return;
    case 4:
      this->InjectProxyFault(member.store_proxy, member.name + " store");
      return;
    case 5:
      this->InjectStoreFault();
      return;
    default:
      this->InjectEndpointFault();
      return;
  }
}

void FaultPlan::InjectProcessFault(SoakMember& member) {
  if (member.paused || member.stopping || !member.process->IsRunning()) return;
  switch (this->environment.random.Below(5)) {
    case 0:
    case 1:
      // CheckProcesses() restarts it.
      this->RecordFault("kill " + member.name);
      member.stopping = true;
      member.disturbed = true;
      member.wall_offset_ms = RandomWallOffset(this->environment.random);
      member.process->Signal(SIGKILL);
      return;
    case 2:
      this->RecordFault("stop " + member.name);
      member.stopping = true;
      member.planned_stop = true;
      member.process->Signal(SIGTERM);
      return;
    case 3:
      this->RecordFault("reload " + member.name);
      member.process->Signal(SIGHUP);
      return;
    default:
      this->RecordFault("pause " + member.name);
      this->Pause(member, this->RandomDuration());
      return;
  }
}

void FaultPlan::InjectProxyFault(Proxy& proxy, const std::string& proxy_name) {
  const std::uint64_t kind = this->environment.random.Below(7);
  if (kind == 0) {
    this->RecordFault("reset " + proxy_name);
    proxy.Reset();
    return;
  }
  if (kind == 1) {
    this->RecordFault("blackhole " + proxy_name);
    proxy.BlackholeConnections();
    return;
  }
  constexpr ProxyMode kModes[] = {ProxyMode::kDelay, ProxyMode::kHoldToServer,
                                  ProxyMode::kHoldToClient,
                                  ProxyMode::kHoldBoth, ProxyMode::kRefuse};
  this->RecordFault(fmt::format("mode_{} {}", kind, proxy_name));
  proxy.SetMode(kModes[kind - 2]);
  this->environment.clock.StartTimer(
      this->RandomDuration(), [&proxy] { proxy.SetMode(ProxyMode::kPass); });
}

void FaultPlan::InjectEndpointFault() {
  const std::size_t index =
      this->environment.random.Below(this->environment.endpoints.size());
  SoakEnvironment::Endpoint& endpoint = *this->environment.endpoints[index];
  switch (this->environment.random.Below(5)) {
    case 0:
      this->RecordFault("restart " + endpoint.id);
      this->environment.RestartEndpoint(index);
      return;
    case 1:
      this->RecordFault("drain " + endpoint.id);
      this->environment.WriteEndpointEntry(index, true);
      this->environment.clock.StartTimer(this->RandomDuration(), [this, index] {
        this->environment.WriteEndpointEntry(index, false);
      });
      return;
    case 2: {
      this->RecordFault("delay orders or drop their answers");
      this->order_faults.late = 0.05;
      this->order_faults.answer_lost = 0.05;
      this->environment.leased_endpoints.SetFaults(this->order_faults);
      this->environment.clock.StartTimer(this->RandomDuration(), [this] {
        this->order_faults.late = 0;
        this->order_faults.answer_lost = 0;
        this->environment.leased_endpoints.SetFaults(this->order_faults);
      });
      return;
    }
    default:
      this->InjectProxyFault(endpoint.proxy, endpoint.id);
      return;
  }
}

void FaultPlan::ScheduleOrderPhase() {
  this->order_timer.StartOnce(
      this->order_random.Between(kMinOrderPhaseInterval,
                                 kMaxOrderPhaseInterval),
      [this] { this->BeginOrderPhase(); });
}

void FaultPlan::BeginOrderPhase() {
  const auto share = [this](double max) {
    return this->order_random.UniformFraction() * max;
  };
  this->order_faults.start_answer_lost = share(kMaxStartFaultShare);
  this->order_faults.stops_lost = share(kMaxStopFaultShare);
  this->order_faults.stop_late = share(kMaxStopFaultShare);
  this->environment.leased_endpoints.SetFaults(this->order_faults);
  const base::Duration duration =
      this->order_random.Between(kMinOrderPhase, kMaxOrderPhase);
  this->RecordFault(fmt::format(
      "orders: {:.2f} of the answers to starts lost, {:.2f} of the stops lost, "
      "{:.2f} of the others late, for {} ms",
      this->order_faults.start_answer_lost, this->order_faults.stops_lost,
      this->order_faults.stop_late, duration / milliseconds(1)));
  this->order_timer.StartOnce(duration, [this] {
    this->order_faults.start_answer_lost = 0;
    this->order_faults.stops_lost = 0;
    this->order_faults.stop_late = 0;
    this->environment.leased_endpoints.SetFaults(this->order_faults);
    this->ScheduleOrderPhase();
  });
}

void FaultPlan::ScheduleLostStops() {
  this->lost_stops_timer.StartOnce(
      this->lost_stops_random.Between(kMinLostStopsInterval,
                                      kMaxLostStopsInterval),
      [this] {
        this->LoseStops();
        this->ScheduleLostStops();
      });
}

void FaultPlan::LoseStops() {
  const std::uint64_t count =
      1 + this->lost_stops_random.Below(kMaxEndpointsWithLostStops);
  for (std::uint64_t i = 0; i < count; ++i) {
    const std::string& id = this->environment
                                .endpoints[this->lost_stops_random.Below(
                                    this->environment.endpoints.size())]
                                ->id;
    const base::Duration duration =
        this->lost_stops_random.Between(kMinLostStops, kMaxLostStops);
    this->RecordFault(fmt::format("lose all stops of {} for {} ms", id,
                                  duration / milliseconds(1)));
    this->environment.leased_endpoints.SetStopsLost(id, true);
    this->environment.clock.StartTimer(duration, [this, &id] {
      this->environment.leased_endpoints.SetStopsLost(id, false);
    });
  }
}

void FaultPlan::InjectStoreFault() {
  switch (this->environment.random.Below(4)) {
    case 0:
      this->RecordFault("compact");
      this->environment.store.Compact(catalog::Topic::kEndpoints);
      this->environment.store.Compact(catalog::Topic::kConfiguration);
      return;
    case 1:
      this->RecordFault("store down");
      this->TakeStoreDown(this->RandomDuration());
      return;
    default:
      this->RecordFault("publish");
      this->environment.PublishConfiguration();
      return;
  }
}

void FaultPlan::CheckProcesses() {
  for (const auto& member : this->environment.members) {
    if (member->process->IsRunning()) continue;
    if (!member->stopping) {
      this->unexpected_exits.push_back(
          fmt::format("{} exited unexpectedly with status {}", member->name,
                      member->process->Status()));
    }
    this->environment.Launch(*member);
  }
}

void FaultPlan::EndAllFaults() {
  this->active = false;
  this->timer.Stop();
  this->series_timer.Stop();
  this->cut_timer.Stop();
  this->order_timer.Stop();
  this->lost_stops_timer.Stop();
  this->order_faults = {};
  this->environment.store.SetDown("", false);
  this->environment.leased_endpoints.SetFaults({});
  for (const auto& member : this->environment.members) {
    if (member->paused) member->process->Signal(SIGCONT);
    member->paused = false;
    member->peer_proxy.SetMode(ProxyMode::kPass);
    member->store_proxy.SetMode(ProxyMode::kPass);
  }
  for (std::size_t i = 0; i < this->environment.endpoints.size(); ++i) {
    this->environment.endpoints[i]->proxy.SetMode(ProxyMode::kPass);
    this->environment.leased_endpoints.SetStopsLost(
        this->environment.endpoints[i]->id, false);
    this->environment.WriteEndpointEntry(i, false);
  }
}

}  // namespace hawthornwheel::soak
