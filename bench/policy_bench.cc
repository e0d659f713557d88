// Policy benchmark: runs the real decision code of one failure domain with fake
// endpoints in virtual time and compares it with a clairvoyant baseline on the
// same arrivals. The same flags produce the same figures.

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "base/logger.h"
#include "clairvoyant.h"
#include "support/fake_endpoints.h"
#include "support/fake_network.h"
#include "support/fake_platform.h"
#include "support/manual_clock.h"
#include "support/random.h"
#include "support/test_process.h"
#include "workload.h"

ABSL_FLAG(std::string, scenario, "all", "Name of one scenario, or \"all\".");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of arrivals and faults.");
ABSL_FLAG(int, seconds, 60, "Virtual seconds of the measurement.");
ABSL_FLAG(int, processes, 3, "Number of dispatchers in the domain.");
ABSL_FLAG(int, endpoints, 17, "Number of endpoints in the domain.");
ABSL_FLAG(bool, verbose, false, "Prints the counters of all processes.");
ABSL_FLAG(bool, loans, true, "Whether dispatchers lend slots.");
ABSL_FLAG(std::string, routing, "earliest", "Name of the endpoint selector.");

namespace hawthornwheel::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EndpointMode;

constexpr base::Duration kWarmUpTime = seconds(20);
constexpr base::Duration kDrainTime = seconds(40);

/// Describes the load and the faults of one measurement.
struct Scenario {
  std::string name;
  std::vector<Stream> streams;
  /// Share of endpoints that fail every task.
  double failing_share = 0;
  /// Share of endpoints that become ten times slower.
  double slowed_share = 0;
  /// Number of endpoints lost at half of the measurement.
  int lost_endpoints = 0;
  /// Share of jobs submitted to the first process before the remaining ones
  /// are spread evenly over all; 0 spreads all jobs evenly.
  double first_process_share = 0;
};

Stream SteadyStream(double load) {
  return {.organisation = "laundry", .service = "booking", .load = load};
}

std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> all;
  for (const int load : {20, 50, 80, 95}) {
    all.push_back(
        {fmt::format("steady-{}", load), {SteadyStream(load / 100.0)}});
  }
  Stream others = SteadyStream(0.4);
  Stream flood{.organisation = "washers",
               .service = "status",
               .urgency = 3,
               .load = 10,
               .timeout = seconds(5)};
  flood.from = seconds(15);
  flood.until = seconds(35);
  all.push_back({"flood-bulk", {others, flood}});
  flood.urgency = 1;
  all.push_back({"flood-urgent", {others, flood}});
  Stream showroom{.organisation = "drawers",
                  .service = "ledger",
                  .urgency = 1,
                  .load = 0.2,
                  .max_tasks = 3};
  Stream inventory{.organisation = "drawers",
                   .service = "ledger",
                   .urgency = 3,
                   .load = 10,
                   .max_tasks = 100,
                   .timeout = seconds(20)};
  inventory.from = seconds(15);
  inventory.until = seconds(35);
  all.push_back({"drawers-inventory", {showroom, inventory}});
  all.push_back({"slow-10%", {SteadyStream(0.6)}, 0, 0.1});
  all.push_back({"failing-4%", {SteadyStream(0.6)}, 0.04});
  Stream misdeclared = SteadyStream(0.8);
  misdeclared.declared_factor = 10;
  all.push_back({"declared-x10", {misdeclared}});
  misdeclared.declared_factor = 0.1;
  all.push_back({"declared-/10", {misdeclared}});
  Scenario rack{"rack-lost", {SteadyStream(0.5)}};
  rack.lost_endpoints = 4;
  all.push_back(rack);
  Scenario uneven{"uneven-entry", {SteadyStream(0.6)}};
  uneven.first_process_share = 0.7;
  all.push_back(uneven);
  return all;
}

double Quantile(std::vector<double> values, double probability) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(
      probability * static_cast<double>(values.size() - 1));
  return values[index];
}

/// Counts the outcomes of one stream's jobs.
struct StreamResult {
  std::uint64_t jobs = 0;
  std::uint64_t tasks = 0;
  std::uint64_t completed_jobs = 0;
  std::uint64_t completed_tasks = 0;
  std::uint64_t refused = 0;
  std::uint64_t may_have_run = 0;
  std::vector<double> response_ms;
  std::vector<double> ideal_ms;
};

/// Runs one scenario and reports its figures.
class Run {
 public:
  Run(const Scenario& scenario, std::uint64_t seed)
      : scenario(scenario),
        random(seed),
        network(this->clock, this->random),
        fake_endpoints(this->clock, this->random),
        environment{this->clock, this->random, this->network, this->platform,
                    this->fake_endpoints},
        specs(MakeEndpoints(absl::GetFlag(FLAGS_endpoints))),
        results(scenario.streams.size()) {
    this->fleet_settings.cluster = "bench";
    this->dispatch_settings.lend_slots = absl::GetFlag(FLAGS_loans);
    this->dispatch_settings.routing = absl::GetFlag(FLAGS_routing);
  }

  /// Starts the dispatchers, warms them up, and takes the measurement.
  void Execute() {
    for (const BenchEndpoint& spec : this->specs) {
      this->fake_endpoints.Add(spec.address, spec.slowness);
    }
    this->Publish();
    for (int i = 0; i < absl::GetFlag(FLAGS_processes); ++i) {
      const std::string name = fmt::format("p{}", i);
      this->processes.push_back(std::make_unique<testing::TestProcess>(
          this->environment, name, "north", name + ":1", this->fleet_settings,
          this->dispatch_settings));
      this->processes.back()->dispatcher.Start();
    }
    this->clock.Advance(seconds(8));
    this->WarmUp();
    this->Measure();
  }

  /// Prints one line per stream and one line of totals.
  void Report() const {
    std::uint64_t useful = 0;
    for (const StreamResult& result : this->results) {
      useful += result.completed_tasks;
    }
    const double wasted =
        static_cast<double>(this->messages_sent) - double(useful);
    for (std::size_t i = 0; i < this->results.size(); ++i) {
      const StreamResult& result = this->results[i];
      const double p50 = Quantile(result.response_ms, 0.5);
      const double p99 = Quantile(result.response_ms, 0.99);
      const double ideal50 = Quantile(result.ideal_ms, 0.5);
      const double ideal99 = Quantile(result.ideal_ms, 0.99);
      fmt::print(
          "{:<18} {:<8} jobs={:<6} done={:.3f} refused={:.3f} unknown={:.3f} "
          "p50={:.0f} p99={:.0f} ratio50={:.2f} ratio99={:.2f}\n",
          this->scenario.name, this->scenario.streams[i].service, result.jobs,
          Share(result.completed_jobs, result.jobs),
          Share(result.refused, result.jobs),
          Share(result.may_have_run, result.jobs), p50, p99, p50 / ideal50,
          p99 / ideal99);
    }
    std::uint32_t overrun = 0;
    std::uint64_t failing_starts = 0;
    std::uint64_t starts = 0;
    for (const BenchEndpoint& spec : this->specs) {
      const auto& endpoint =
          const_cast<testing::FakeEndpoints&>(this->fake_endpoints)
              .At(spec.address);
      overrun = std::max(overrun, endpoint.max_running > spec.slots
                                      ? endpoint.max_running - spec.slots
                                      : 0);
      starts += endpoint.starts;
      if (endpoint.mode == EndpointMode::kFailing) {
        failing_starts += endpoint.starts;
      }
    }
    if (absl::GetFlag(FLAGS_verbose)) this->PrintCounters();
    fmt::print("{:<18} wasted/task={:.4f} overrun={} failing_share={:.4f}\n",
               this->scenario.name, wasted / std::max(1.0, double(useful)),
               overrun, Share(failing_starts, starts));
  }

 private:
  static double Share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : double(part) / double(whole);
  }

  void PrintCounters() const {
    std::map<std::string, double> sums;
    for (const auto& process : this->processes) {
      for (const base::MetricSample& sample : process->metrics.Report()) {
        sums[sample.name] += sample.value;
      }
    }
    for (const auto& [name, value] : sums) {
      fmt::print("  {}={:.0f}\n", name, value);
    }
  }

  void Publish() {
    std::string addresses;
    for (const BenchEndpoint& spec : this->specs) {
      addresses +=
          fmt::format("{}{}@north", addresses.empty() ? "" : ",", spec.address);
    }
    std::map<std::string, std::string> services;
    for (const Stream& stream : this->scenario.streams) {
      services[stream.service] = stream.organisation;
    }
    wire::LogRecord record;
    record.set_id("bench");
    for (const auto& [service, organisation] : services) {
      wire::ServiceChange* change = record.mutable_change()->add_changes();
      change->set_service(service);
      // Service files call an organisation "team".
      change->set_content(fmt::format(
          "[service]\nname = {}\nteam = {}\n[endpoints]\naddresses = {}\n",
          service, organisation, addresses));
    }
    this->platform.log.Append(record.SerializeAsString(),
                              this->clock.WallMilliseconds());
  }

  void WarmUp() {
    std::vector<Stream> streams = this->scenario.streams;
    for (Stream& stream : streams) {
      stream.load = std::min(stream.load, 0.3);
      stream.from = base::Duration{0};
      stream.until = kWarmUpTime;
    }
    const auto arrivals =
        MakeArrivals(streams, this->specs, kWarmUpTime, this->random);
    this->SubmitArrivals(arrivals, nullptr);
    this->clock.Advance(seconds(10));
  }

  void Measure() {
    this->ApplyFaults();
    const std::uint64_t before =
        this->fake_endpoints.Messages() + this->PeerMessages();
    const base::Duration length = seconds(absl::GetFlag(FLAGS_seconds));
    const auto arrivals =
        MakeArrivals(this->scenario.streams, this->specs, length, this->random);
    const auto ideal = this->IdealResponses(arrivals);
    if (this->scenario.lost_endpoints > 0) {
      this->clock.StartTimer(length / 2, [this] {
        for (int i = 0; i < this->scenario.lost_endpoints; ++i) {
          this->fake_endpoints
              .At(this->specs[static_cast<std::size_t>(i)].address)
              .mode = EndpointMode::kDown;
        }
      });
    }
    this->SubmitArrivals(arrivals, &ideal);
    this->messages_sent =
        this->fake_endpoints.Messages() + this->PeerMessages() - before;
    this->clock.Advance(kDrainTime);
  }

  // Returns the response times of the clairvoyant baseline. Streams with a load
  // of 1 or more exceed the capacity and have no ideal response time; they are
  // left out, and their arrivals get a placeholder.
  std::vector<base::Duration> IdealResponses(
      const std::vector<Arrival>& arrivals) const {
    std::vector<Arrival> kept;
    for (const Arrival& arrival : arrivals) {
      if (this->scenario.streams[arrival.stream].load < 1) {
        kept.push_back(arrival);
      }
    }
    const auto responses = ClairvoyantResponses(kept, this->specs);
    std::vector<base::Duration> ideal(arrivals.size(), base::Duration{1});
    std::size_t next = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
      if (this->scenario.streams[arrivals[i].stream].load < 1) {
        ideal[i] = responses[next++];
      }
    }
    return ideal;
  }

  void ApplyFaults() {
    const auto count = static_cast<double>(this->specs.size());
    const auto failing = static_cast<std::size_t>(
        std::ceil(this->scenario.failing_share * count));
    const auto slowed = static_cast<std::size_t>(
        std::ceil(this->scenario.slowed_share * count));
    for (std::size_t i = 0; i < failing; ++i) {
      this->fake_endpoints.At(this->specs[i].address).mode =
          EndpointMode::kFailing;
      this->fake_endpoints.At(this->specs[i].address).starts = 0;
    }
    for (std::size_t i = 0; i < slowed; ++i) {
      this->fake_endpoints.At(this->specs[i].address).slowness *= 10;
    }
  }

  void SubmitArrivals(const std::vector<Arrival>& arrivals,
                      const std::vector<base::Duration>* ideal) {
    const base::TimePoint start = this->clock.Now();
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
      const base::Duration until = start + arrivals[i].at - this->clock.Now();
      this->clock.Advance(std::max(until, base::Duration{0}));
      this->Submit(arrivals[i],
                   ideal == nullptr ? base::Duration{0} : (*ideal)[i],
                   ideal != nullptr);
    }
  }

  std::uint64_t PeerMessages() const {
    std::uint64_t sent = 0;
    for (const auto& process : this->processes) {
      sent += process->metrics.Counter("peer.sent");
    }
    return sent;
  }

  testing::TestProcess& ChooseProcess() {
    const double share = this->scenario.first_process_share;
    if (share > 0 && this->random.Chance(share)) return *this->processes[0];
    return *this->processes[this->random.Below(this->processes.size())];
  }

  void Submit(const Arrival& arrival, base::Duration ideal, bool counted) {
    const Stream& stream = this->scenario.streams[arrival.stream];
    wire::SubmitRequest request;
    // The callers' interface calls an organisation "team".
    request.set_team(stream.organisation);
    request.set_service(stream.service);
    request.set_urgency(static_cast<wire::Urgency>(stream.urgency));
    request.set_timeout_ms(
        static_cast<std::uint32_t>(stream.timeout / milliseconds(1)));
    for (const base::Duration run_time : arrival.run_times) {
      wire::TaskSpec* task = request.add_tasks();
      task->set_payload(fmt::format("{}:r", run_time.count()));
      task->set_run_time_ms(static_cast<std::uint32_t>(
          double(run_time.count()) / 1000 * stream.declared_factor));
    }
    const base::TimePoint start = this->clock.Now();
    StreamResult& result = this->results[arrival.stream];
    if (counted) {
      ++result.jobs;
      result.tasks += arrival.run_times.size();
    }
    this->ChooseProcess().dispatcher.Jobs().Submit(
        request, stream.timeout + seconds(1),
        [this, start, ideal, counted, &result,
         tasks = arrival.run_times.size()](const wire::JobAnswer& answer) {
          if (!counted) return;
          if (answer.state() != wire::COMPLETE) {
            ++(answer.failure().execution() == wire::NOT_RUN
                   ? result.refused
                   : result.may_have_run);
            return;
          }
          ++result.completed_jobs;
          result.completed_tasks += tasks;
          constexpr double kMicrosecondsPerMillisecond = 1000;
          result.response_ms.push_back(
              double((this->clock.Now() - start).count()) /
              kMicrosecondsPerMillisecond);
          result.ideal_ms.push_back(double(ideal.count()) /
                                    kMicrosecondsPerMillisecond);
        });
  }

  const Scenario& scenario;
  testing::ManualClock clock;
  testing::Random random;
  testing::FakeNetwork network;
  testing::FakePlatform platform;
  testing::FakeEndpoints fake_endpoints;
  testing::TestEnvironment environment;
  std::vector<BenchEndpoint> specs;
  fleet::FleetSettings fleet_settings;
  dispatch::DispatchSettings dispatch_settings;
  std::vector<std::unique_ptr<testing::TestProcess>> processes;
  std::vector<StreamResult> results;
  std::uint64_t messages_sent = 0;
};

int Main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  base::SetLogLevel(base::LogLevel::kError);
  const std::string selected = absl::GetFlag(FLAGS_scenario);
  for (const Scenario& scenario : AllScenarios()) {
    if (selected != "all" && selected != scenario.name) continue;
    Run run(scenario, absl::GetFlag(FLAGS_seed));
    run.Execute();
    run.Report();
  }
  return 0;
}

}  // namespace
}  // namespace hawthornwheel::bench

int main(int argc, char** argv) {
  return hawthornwheel::bench::Main(argc, argv);
}
