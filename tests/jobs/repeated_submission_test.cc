// Checks that no task runs twice when a job is sent again, at a process of any
// failure domain, while runs of the earlier submission may still be at work.
// REPEAT_SEEDS sets the number of seeds, REPEAT_FIRST_SEED the first one.
// REPEAT_FAULTS restricts the faults, for example to
// "answers_lost,orders_late", and REPEAT_TRACE=1 prints the process logs and
// the trace of each violation.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <map>
#include <numbers>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/logger.h"
#include "support/hosted_callers.h"
#include "support/hosted_fleet.h"
#include "support/run_trace.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDefaultSeedCount = 24;
constexpr int kEndpointsPerDomain = 6;
constexpr std::uint32_t kStrongWeight = 4;
constexpr base::Duration kStep = milliseconds(50);
constexpr base::Duration kDisturbedTime = seconds(40);
constexpr base::Duration kCalmTime = seconds(10);
// Time in which the last runs and repeated submissions end.
constexpr base::Duration kDrainTime = seconds(40);
constexpr base::Duration kMinPhase = seconds(2);
constexpr base::Duration kMaxPhase = seconds(20);
constexpr double kFaultChance = 0.35;
constexpr base::Duration kMaxRunTime = milliseconds(6'900);
// Standard deviation of the logarithm of the real run time over the declared
// one.
constexpr double kLogStdDev = 0.4;
// Time limits of the routes "/a/" and "/l/", after which callers get no answer.
constexpr base::Duration kShortRouteTimeout = milliseconds(1'500);
constexpr base::Duration kLongRouteTimeout = milliseconds(10'000);
constexpr base::Duration kAnswerSlack = milliseconds(100);
// Smallest share of the jobs that is served while no faults are injected.
constexpr double kMinServedShare = 0.25;

constexpr const char* kFaultNames[] = {
    "answers_lost",    "orders_late",  "stops_lost", "connections_end",
    "messages_lost",   "pauses",       "restarts",   "link_cut",
    "endpoint_silent", "callers_leave"};

bool IsTraced() { return std::getenv("REPEAT_TRACE") != nullptr; }

class RepeatScenario {
 public:
  RepeatScenario(std::uint64_t seed, std::set<std::string> allowed)
      : fleet(seed),
        random(seed * 6'151),
        allowed(std::move(allowed)),
        callers(this->fleet, [this] { return this->RandomRunningProcess(); }),
        trace(this->fleet, this->callers) {
    this->fleet.Publish("1 /a/:1:1500 /l/:1:10000");
    this->fleet.endpoints.SetLateAfterRestart(false);
    const bool has_entries = this->random.Chance(0.5);
    for (const char* domain : {"north", "south", "west", "east"}) {
      for (int i = 0; i < kEndpointsPerDomain; ++i) {
        const std::string id = fmt::format("{}-e{}", domain, i);
        this->fleet.AddEndpoint(id, domain,
                                this->random.Chance(0.3) ? 24'000 : 16'000,
                                0.6 + this->random.UniformFraction());
        this->endpoint_ids.push_back(id);
      }
      for (int i = 0; i < (has_entries ? 3 : 2); ++i) {
        this->domains[fmt::format("{}{}", domain, i)] = domain;
      }
    }
    for (const auto& [name, domain] : this->domains) this->Launch(name);
    this->fleet.Run(seconds(2));
  }

  void Run() {
    const base::TimePoint end = this->fleet.clock.Now() + kDisturbedTime;
    while (this->fleet.clock.Now() < end) {
      const base::Duration phase = this->random.Between(kMinPhase, kMaxPhase);
      this->BeginPhase();
      this->RunLoad(std::min(phase, end - this->fleet.clock.Now()));
      this->EndPhase();
    }
    // Processes that were paused or killed are back by then.
    this->RunLoad(seconds(4));
    const std::uint64_t jobs_before = this->callers.Jobs();
    const std::uint64_t complete_before = this->callers.CompleteJobs();
    this->RunLoad(kCalmTime);
    this->fleet.Run(kDrainTime);
    this->calm_jobs = this->callers.Jobs() - jobs_before;
    this->calm_complete = this->callers.CompleteJobs() - complete_before;
  }

  void CheckInvariants() const {
    EXPECT_TRUE(this->fleet.endpoints.Violations().empty())
        << this->fleet.endpoints.Violations().front();
    for (const std::string& wrong : this->callers.WrongAnswers()) {
      ADD_FAILURE() << wrong;
    }
    for (const std::string& id : this->endpoint_ids) {
      EXPECT_EQ(this->fleet.endpoints.RunningAt(id), 0U) << id;
    }
    EXPECT_GT(this->callers.RepeatsElsewhere(), 0U);
    EXPECT_GE(static_cast<double>(this->calm_complete),
              kMinServedShare * static_cast<double>(this->calm_jobs));
  }

  const HostedCallers& Callers() const { return this->callers; }
  const RunTrace& Trace() const { return this->trace; }
  std::uint64_t Starts() const { return this->fleet.endpoints.Starts(); }
  std::uint64_t CalmJobs() const { return this->calm_jobs; }
  std::uint64_t CalmComplete() const { return this->calm_complete; }

 private:
  // The last process of each domain has a lower weight, so that it is an entry
  // process while a stronger one is up.
  void Launch(const std::string& name) {
    this->fleet.AddProcess(name, this->domains.at(name),
                           name.back() == '2' ? 1 : kStrongWeight);
  }

  std::string RandomRunningProcess() {
    std::vector<std::string> running;
    for (const auto& process : this->fleet.processes) {
      if (!process->clock.IsPaused()) running.push_back(process->name);
    }
    return running.empty() ? "" : running[this->random.Below(running.size())];
  }

  std::string RandomName() {
    auto item = this->domains.begin();
    std::advance(item, this->random.Below(this->domains.size()));
    return item->first;
  }

  bool Has(const char* fault) const { return this->active.contains(fault); }

  void BeginPhase() {
    this->active.clear();
    for (const char* name : kFaultNames) {
      const bool chosen = this->random.Chance(kFaultChance);
      const bool is_allowed =
          this->allowed.empty() || this->allowed.contains(name);
      if (chosen && is_allowed) this->active.insert(name);
    }
    this->trace.SetFaults(fmt::format("{}", fmt::join(this->active, ",")));
    this->fleet.endpoints.SetFaults(this->OrderFaults());
    if (this->Has("messages_lost")) this->DisturbMessages();
    if (this->Has("link_cut")) this->CutLink();
    if (this->Has("endpoint_silent")) {
      this->fleet.endpoints.SetSilent(
          this->endpoint_ids[this->random.Below(this->endpoint_ids.size())],
          true);
    }
  }

  LeasedEndpoints::Faults OrderFaults() {
    LeasedEndpoints::Faults faults;
    if (this->Has("answers_lost")) {
      faults.answer_lost = 0.1 + 0.4 * this->random.UniformFraction();
    }
    if (this->Has("orders_late")) {
      faults.late = 0.02 + 0.18 * this->random.UniformFraction();
      faults.min_delay = milliseconds(1);
      faults.max_delay =
          this->random.Between(milliseconds(300), milliseconds(3'000));
    }
    if (this->Has("stops_lost")) {
      faults.stops_lost = 0.1 + 0.4 * this->random.UniformFraction();
    }
    if (this->Has("connections_end")) {
      faults.connection_ends = 0.02 + 0.18 * this->random.UniformFraction();
    }
    return faults;
  }

  // Disturbs all messages between processes, or those of some connections.
  void DisturbMessages() {
    if (this->random.Chance(0.5)) {
      this->fleet.network.SetFaults(
          0.02 + 0.18 * this->random.UniformFraction(), 0.02,
          this->random.Between(milliseconds(2), milliseconds(50)));
      return;
    }
    for (int i = 0; i < 6; ++i) {
      this->fleet.network.Disturb(this->RandomName(), this->RandomName(),
                                  {0.3, base::Duration{0}, milliseconds(250)});
    }
  }

  void CutLink() {
    const std::string from = this->RandomName();
    const std::string to = this->RandomName();
    if (this->random.Chance(0.5)) {
      this->fleet.network.Cut(from, to);
    } else {
      this->fleet.network.Partition(this->domains.at(from),
                                    this->domains.at(to));
    }
  }

  void EndPhase() {
    this->active.clear();
    this->trace.SetFaults("");
    this->fleet.endpoints.SetFaults({});
    this->fleet.network.SetFaults(0, 0, milliseconds(2));
    this->fleet.network.HealAll();
    for (const std::string& id : this->endpoint_ids) {
      this->fleet.endpoints.SetSilent(id, false);
    }
  }

  void RunLoad(base::Duration span) {
    const base::TimePoint end = this->fleet.clock.Now() + span;
    while (this->fleet.clock.Now() < end) {
      if (this->random.Chance(0.2)) this->SubmitLongJob();
      if (this->random.Chance(0.3)) this->SubmitJob();
      if (this->Has("pauses") && this->random.Chance(0.02)) this->Pause();
      if (this->Has("restarts") && this->random.Chance(0.01)) this->Restart();
      this->fleet.Run(kStep);
    }
  }

  // Jobs of several seconds keep the leases of their endpoints renewed, so that
  // a run that is not stopped does not lapse.
  void SubmitLongJob() {
    const base::Duration time =
        this->random.Between(milliseconds(3'000), kMaxRunTime);
    this->Submit("/l/", 1, time, kLongRouteTimeout + kAnswerSlack);
  }

  void SubmitJob() {
    const int tasks = 1 + static_cast<int>(this->random.Below(4));
    const base::Duration time =
        this->random.Chance(0.4)
            ? this->random.Between(milliseconds(100), milliseconds(900))
            : this->random.Between(milliseconds(900), kMaxRunTime);
    const bool leaves = this->Has("callers_leave") && this->random.Chance(0.15);
    this->Submit("/a/", tasks, time,
                 leaves
                     ? this->random.Between(milliseconds(1), milliseconds(900))
                     : kShortRouteTimeout + kAnswerSlack);
  }

  void Submit(const char* path, int tasks, base::Duration time,
              base::Duration patience) {
    const std::string process = this->RandomRunningProcess();
    if (process.empty()) return;
    const auto declared = base::Duration(static_cast<base::Duration::rep>(
        static_cast<double>(time.count()) *
        std::exp(kLogStdDev * this->NormalNumber())));
    this->callers.Send(process,
                       this->fleet.NewRequest(path, tasks, time, declared,
                                              runs::RunEndKind::kDone),
                       patience);
  }

  // Returns a number of the standard normal distribution (Box-Muller).
  double NormalNumber() {
    const double radius =
        std::sqrt(-2 * std::log(1 - this->random.UniformFraction()));
    return radius *
           std::cos(2 * std::numbers::pi * this->random.UniformFraction());
  }

  void Pause() {
    const std::string name = this->RandomName();
    if (!this->fleet.IsUp(name)) return;
    this->fleet.Process(name).clock.Pause();
    this->fleet.clock.StartTimer(
        this->random.Between(milliseconds(200), milliseconds(1'500)),
        [this, name] {
          if (this->fleet.IsUp(name)) this->fleet.Process(name).clock.Resume();
        });
  }

  // Kills a process and starts it again.
  void Restart() {
    const std::string name = this->RandomName();
    if (!this->fleet.IsUp(name) || this->fleet.processes.size() <= 2) return;
    this->callers.EndConnections(name);
    this->fleet.Kill(name);
    this->fleet.clock.StartTimer(
        this->random.Between(milliseconds(100), milliseconds(3'000)),
        [this, name] { this->Launch(name); });
  }

  HostedFleet fleet;
  Random random;
  std::set<std::string> allowed;
  HostedCallers callers;
  RunTrace trace;
  /// Failure domains of the processes by name.
  std::map<std::string, std::string> domains;
  std::vector<std::string> endpoint_ids;
  std::set<std::string> active;
  std::uint64_t calm_jobs = 0;
  std::uint64_t calm_complete = 0;
};

std::uint64_t NumberFrom(const char* variable, std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Returns the faults that REPEAT_FAULTS allows; empty for all.
std::set<std::string> AllowedFaults() {
  const char* text = std::getenv("REPEAT_FAULTS");
  std::set<std::string> allowed;
  if (text == nullptr) return allowed;
  for (const char* name : kFaultNames) {
    if (std::string(text).find(name) != std::string::npos) allowed.insert(name);
  }
  return allowed;
}

class RepeatedSubmissionTest : public ::testing::Test {
 protected:
  RepeatedSubmissionTest() {
    if (!IsTraced()) base::SetLogLevel(base::LogLevel::kError);
  }
  ~RepeatedSubmissionTest() override {
    base::SetLogLevel(base::LogLevel::kInfo);
  }
};

void PrintFindings(std::uint64_t seed, const RunTrace& trace) {
  for (const std::string& report : trace.Reports()) {
    std::cout << "VIOLATION seed=" << seed << ' ' << report << '\n';
  }
  if (!IsTraced()) return;
  for (const std::string& line : trace.Details()) {
    std::cout << "TRACE seed=" << seed << ' ' << line << '\n';
  }
}

// Guards against TWICE (issue 38): a copy of a job started at a process of
// another failure domain while a run of the earlier submission was at work.
TEST_F(RepeatedSubmissionTest, CopyDoesNotRunBesideRunOfEarlierSubmission) {
  const std::uint64_t first = NumberFrom("REPEAT_FIRST_SEED", 1);
  const std::uint64_t count = NumberFrom("REPEAT_SEEDS", kDefaultSeedCount);
  std::uint64_t starts = 0;
  std::uint64_t jobs = 0;
  std::uint64_t repeats = 0;
  std::uint64_t elsewhere = 0;
  std::uint64_t calm_jobs = 0;
  std::uint64_t calm_complete = 0;
  int slow = 0;
  int overdue = 0;
  std::map<std::string, int> causes;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    RepeatScenario scenario(seed, AllowedFaults());
    scenario.Run();
    scenario.CheckInvariants();
    PrintFindings(seed, scenario.Trace());
    starts += scenario.Starts();
    jobs += scenario.Callers().Jobs();
    repeats += scenario.Callers().Repeats();
    elsewhere += scenario.Callers().RepeatsElsewhere();
    calm_jobs += scenario.CalmJobs();
    calm_complete += scenario.CalmComplete();
    slow += scenario.Trace().SlowStops();
    overdue += scenario.Trace().OverdueStops();
    for (const auto& [cause, violations] : scenario.Trace().Causes()) {
      causes[cause] += violations;
    }
  }
  std::cout << fmt::format(
      "seeds={} starts={} jobs={} repeats={} repeats_elsewhere={} "
      "stops_over_300_ms={} stops_over_1300_ms={} calm_jobs={} "
      "calm_complete={}\n",
      count, starts, jobs, repeats, elsewhere, slow, overdue, calm_jobs,
      calm_complete);
  for (const auto& [cause, violations] : causes) {
    std::cout << fmt::format("cause={} violations={}\n", cause, violations);
  }
}

}  // namespace
}  // namespace hawthornwheel::testing
