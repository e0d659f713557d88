// Measures how memory, messages and processor time of the decision code grow
// with the size of the deployment, for docs/CAPACITY.md. Memory is the heap in
// use as reported by the allocator; times are those of one core.

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "base/glib_clock.h"
#include "base/logger.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/key_registry.h"
#include "support/small_fleet.h"
#include "wire/caller.pb.h"
#include "wire/json.h"

ABSL_FLAG(std::string, only, "", "Name of one measurement, or empty for all.");

namespace hawthornwheel::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::SmallFleet;

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Returns how long `work` takes, in seconds.
double MeasureSeconds(const std::function<void()>& work) {
  base::GlibClock clock;
  const base::TimePoint start = clock.Now();
  work();
  return double((clock.Now() - start).count()) / 1e6;
}

// Returns whether the flag --only selects this measurement.
bool IsSelected(const std::string& name) {
  const std::string only = absl::GetFlag(FLAGS_only);
  return only.empty() || only == name;
}

void MeasureIdleFleet(int processes) {
  SmallFleet fleet;
  fleet.AddEndpoint("10.0.0.1:80", "north");
  fleet.Publish();
  for (int i = 0; i < processes; ++i) {
    fleet.AddProcess(fmt::format("p{:03}", i), "north");
  }
  fleet.Run(seconds(20));
  const auto sum = [&fleet](const std::string& name) {
    double total = 0;
    for (const auto& process : fleet.processes) {
      total += double(process->metrics.Counter(name));
    }
    return total;
  };
  const double messages = sum("peer.sent");
  const double bytes = sum("peer.sent_bytes");
  const double reads = sum("platform.log_reads");
  constexpr int kSeconds = 60;
  fleet.Run(seconds(kSeconds));
  const double per_process_second = 1.0 / kSeconds / processes;
  fmt::print(
      "idle processes={} messages/s/process={:.2f} bytes/s/process={:.0f} "
      "log_reads/s/process={:.2f}\n",
      processes, (sum("peer.sent") - messages) * per_process_second,
      (sum("peer.sent_bytes") - bytes) * per_process_second,
      (sum("platform.log_reads") - reads) * per_process_second);
}

/// State of the log while a change is published.
enum class LogState { kHealthy, kSlow, kDomainPartitioned };

void MeasurePublishTimes(const std::string& name, LogState state) {
  std::vector<double> all;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SmallFleet fleet(seed);
    fleet.AddEndpoint("10.0.0.1:80", "north");
    fleet.Publish();
    for (int i = 0; i < 8; ++i) {
      fleet.AddProcess(fmt::format("p{}", i), i == 7 ? "south" : "north");
      fleet.Run(milliseconds(137));
    }
    fleet.Run(seconds(10));
    if (state == LogState::kSlow) {
      fleet.platform.max_delay = milliseconds(1500);
    }
    if (state == LogState::kDomainPartitioned) {
      fleet.network.Partition("north", "south");
      fleet.network.Partition("south", "north");
      fleet.platform.partitioned_domains.insert("south");
    }
    fleet.Run(seconds(5));
    fleet.Publish("[timeouts]\nlease = 2s\n");
    const std::uint64_t expected_offset = fleet.platform.log.NextOffset();
    base::TimePoint published = fleet.clock.Now();
    if (state == LogState::kDomainPartitioned) {
      fleet.Run(seconds(30));
      fleet.network.HealAll();
      fleet.platform.partitioned_domains.clear();
      published = fleet.clock.Now();
    }
    std::map<std::string, double> in_force;
    while (in_force.size() < fleet.processes.size()) {
      fleet.Run(milliseconds(5));
      for (const auto& process : fleet.processes) {
        const bool has =
            process->dispatcher.GetFleetBoard().config.NextOffset() >=
            expected_offset;
        if (!has || in_force.contains(process->incarnation)) continue;
        in_force[process->incarnation] =
            double((fleet.clock.Now() - published).count()) / 1e6;
      }
    }
    for (const auto& [process, time_s] : in_force) all.push_back(time_s);
  }
  std::sort(all.begin(), all.end());
  fmt::print(
      "publish log={} processes=8 seeds=20 median_s={:.2f} "
      "worst_s={:.2f}\n",
      name, all[all.size() / 2], all.back());
}

void MeasureEndpointMemory(int count) {
  SmallFleet fleet;
  fleet.AddEndpoint("10.200.0.1:80", "north");
  fleet.Publish();
  fleet.AddProcess("a", "north");
  fleet.Run(seconds(3));
  for (int i = 0; i < count; ++i) {
    fleet.AddEndpoint(
        fmt::format("10.{}.{}.{}:80", i / 62500, i / 250 % 250, 1 + i % 250),
        "north");
  }
  const std::size_t before = HeapBytes();
  fleet.Publish();
  const double elapsed_s = MeasureSeconds([&fleet] { fleet.Run(seconds(3)); });
  fmt::print(
      "endpoints count={} bytes/endpoint={:.0f} fold_and_rebuild_ms={:.1f}\n",
      count, double(HeapBytes() - before) / count, elapsed_s * 1000);
}

void MeasureRebuildTime(int endpoints, int processes) {
  SmallFleet fleet;
  for (int i = 0; i < endpoints; ++i) {
    fleet.AddEndpoint(
        fmt::format("10.{}.{}.{}:80", i / 62500, i / 250 % 250, 1 + i % 250),
        "north");
  }
  fleet.Publish();
  for (int i = 0; i < processes; ++i) {
    fleet.AddProcess(fmt::format("p{:03}", i), "north");
  }
  fleet.Run(seconds(8));
  const double idle = MeasureSeconds([&fleet] { fleet.Run(seconds(2)); });
  wire::Vm* vm = fleet.platform.vms.add_vms();
  vm->set_address("10.0.0.1");
  vm->set_state(wire::VM_LEAVING);
  fleet.platform.vms.set_version(2);
  const double busy = MeasureSeconds([&fleet] { fleet.Run(seconds(2)); });
  fmt::print(
      "rebuild endpoints={} processes={} idle_ms/s/process={:.2f} "
      "rebuild_ms={:.2f}\n",
      endpoints, processes, idle * 500 / processes,
      (busy - idle) * 1000 / processes);
}

void MeasureTaskMemory(int jobs) {
  SmallFleet fleet;
  fleet.AddEndpoint("10.0.0.1:80", "north");
  fleet.Publish("slots = 1\n[limits]\nmax_queued_tasks = 1000000\n");
  fleet.AddProcess("a", "north");
  fleet.Run(seconds(3));
  const std::size_t before = HeapBytes();
  std::vector<std::shared_ptr<wire::JobAnswer>> answers;
  for (int i = 0; i < jobs; ++i) {
    answers.push_back(fleet.Submit("a", 150, seconds(60), seconds(500)));
  }
  const double queued = double(HeapBytes() - before) / (150.0 * jobs);
  fmt::print("queued jobs={} tasks=150 bytes/task={:.0f}\n", jobs, queued);
}

void MeasureKeyMemory(int count) {
  testing::ManualClock clock;
  dispatch::KeyRegistry registry(clock, "home", seconds(3600), 1, 100'000'000);
  const std::size_t before = HeapBytes();
  for (int i = 0; i < count; ++i) {
    registry.Remember({"home", 1, fmt::format("caller-part-{}", i)},
                      {static_cast<dispatch::JobId>(i + 1), 7});
  }
  const std::size_t remembered = HeapBytes();
  for (int i = 0; i < count; ++i) {
    registry.Seal({"home", 1, fmt::format("sealed-part-{}", i)},
                  base::ErrorKind::kQueueFull);
  }
  fmt::print("keys count={} bytes/remembered={:.0f} bytes/sealed={:.0f}\n",
             count, double(remembered - before) / count,
             double(HeapBytes() - remembered) / count);
}

void MeasureServiceMemory(int count) {
  fleet::ConfigFold fold;
  malloc_trim(0);
  const std::size_t before = HeapBytes();
  const double elapsed_s = MeasureSeconds([&fold, count] {
    for (int i = 0; i < count; ++i) {
      wire::LogRecord record;
      record.set_id(fmt::format("r{}", i));
      wire::ServiceChange* change = record.mutable_change()->add_changes();
      change->set_service(fmt::format("s{}", i));
      change->set_content(fmt::format(
          "[service]\nname = s{}\nteam = t\n[endpoints]\nselector = g\n"
          "selector_port = 80\n",
          i));
      fold.Apply(static_cast<std::uint64_t>(i), record);
    }
  });
  fmt::print("services count={} bytes/service={:.0f} fold_us/change={:.0f}\n",
             count, double(HeapBytes() - before) / count,
             elapsed_s * 1e6 / count);
}

void MeasureCodecTime(int tasks) {
  wire::SubmitRequest request;
  request.set_team("laundry");
  request.set_service("booking");
  request.set_timeout_ms(1000);
  for (int i = 0; i < tasks; ++i) {
    request.add_tasks()->set_payload(std::string(100, 'p'));
  }
  const std::string text = wire::ToJson(request);
  constexpr int kRounds = 500;
  int parsed_rounds = 0;
  const double parse = MeasureSeconds([&text, &parsed_rounds] {
    for (int i = 0; i < kRounds; ++i) {
      wire::SubmitRequest parsed;
      if (wire::FromJson(text, parsed)) ++parsed_rounds;
    }
  });
  if (parsed_rounds != kRounds) fmt::print("JSON cannot be parsed back\n");
  const double print = MeasureSeconds([&request] {
    for (int i = 0; i < kRounds; ++i) wire::ToJson(request);
  });
  fmt::print("json tasks={} bytes={} parse_us={:.0f} print_us={:.0f}\n", tasks,
             text.size(), parse * 1e6 / kRounds, print * 1e6 / kRounds);
}

/// Measures the processor time of the decision code alone, without sockets.
void MeasureDecisionTime(int endpoints, int tasks_per_job) {
  SmallFleet fleet;
  for (int i = 0; i < endpoints; ++i) {
    fleet.AddEndpoint(fmt::format("10.0.{}.{}:80", i / 250, 1 + i % 250),
                      "north", 1 + i % 4);
  }
  fleet.Publish("[limits]\nmax_queued_tasks = 1000000\n");
  fleet.AddProcess("a", "north");
  fleet.Run(seconds(3));
  const double idle = MeasureSeconds([&fleet] { fleet.Run(seconds(10)); });
  // Uses half of the slots at a mean run time of 250 ms.
  const double tasks_per_second = endpoints * 8 / 2 / 0.25;
  const int jobs = static_cast<int>(tasks_per_second * 10 / tasks_per_job);
  const double busy = MeasureSeconds([&] {
    for (int i = 0; i < jobs; ++i) {
      fleet.Submit("a", tasks_per_job, milliseconds(100), seconds(30));
      fleet.Run(base::Duration(10'000'000 / jobs));
    }
  });
  fmt::print(
      "decision endpoints={} tasks/job={} tasks/s={:.0f} us/task={:.1f}\n",
      endpoints, tasks_per_job, tasks_per_second,
      (busy - idle) * 1e6 / (double(jobs) * tasks_per_job));
}

int Main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  base::SetLogLevel(base::LogLevel::kError);
  if (IsSelected("idle")) {
    for (const int processes : {2, 4, 8, 16, 32}) MeasureIdleFleet(processes);
  }
  if (IsSelected("publish")) {
    MeasurePublishTimes("healthy", LogState::kHealthy);
    MeasurePublishTimes("slow", LogState::kSlow);
    MeasurePublishTimes("one_cut_off", LogState::kDomainPartitioned);
  }
  if (IsSelected("memory")) {
    for (const int count : {1000, 4000}) MeasureEndpointMemory(count);
    for (const int jobs : {100, 1000}) MeasureTaskMemory(jobs);
    for (const int count : {100'000, 1'000'000}) MeasureKeyMemory(count);
    for (const int count : {100, 1000}) MeasureServiceMemory(count);
  }
  if (IsSelected("rebuild")) {
    for (const int endpoints : {500, 4000}) MeasureRebuildTime(endpoints, 4);
    MeasureRebuildTime(4000, 16);
  }
  if (IsSelected("codec")) {
    for (const int tasks : {1, 15, 150}) MeasureCodecTime(tasks);
  }
  if (IsSelected("decision")) {
    for (const int endpoints : {17, 50, 200}) {
      for (const int tasks : {1, 15, 150})
        MeasureDecisionTime(endpoints, tasks);
    }
  }
  return 0;
}

}  // namespace
}  // namespace hawthornwheel::bench

int main(int argc, char** argv) {
  return hawthornwheel::bench::Main(argc, argv);
}
