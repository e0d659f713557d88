// A strong machine of a zone is stopped and started again. Meanwhile a weak
// machine of its zone runs the jobs, and is killed soon after the strong one is
// back. Checks that no task of its jobs, which the clients send again, runs
// twice at the same time.
//
//     case_6 FOLDER RECORD

#include <csignal>
#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "client.h"
#include "fleet.h"

namespace {

constexpr std::int64_t kResendMs = 1'300;
constexpr std::int64_t kGraceMs = 6'000;

// Time from the exit of the strong machine's process to its start, and from
// there to the kill of the weak one.
constexpr std::int64_t kRestartMs = 300;
constexpr std::int64_t kKillAfterMs = 600;

// Time from a kill to the start of the process; the site file has `down_s` 1.4.
constexpr std::int64_t kDownMs = 1'400;

// The kind of request with long tasks: estimated at 0.9 s, at most 3.6 s.
constexpr int kTaskMs = 3'000;
constexpr int kEstimateMs = 3'000;
constexpr int kTaskCpu = 3'000;
constexpr int kDeadlineMs = 6'000;
constexpr int kJobs = 14;
constexpr std::int64_t kJobIntervalMs = 25;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Dispatchers: two in zone 0, of which the second one is weak, and three in
// each other zone.
constexpr std::size_t kStrong = 0;
constexpr std::size_t kWeak = 1;
constexpr std::size_t kOthers[] = {2, 3, 4, 5, 6, 7};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return kCannotRun;
  rig::Record record(argv[2]);
  rig::Fleet fleet(rig::ProgramPath(), argv[1], record, {2, 3, 3}, 8, 16'000,
                   {{0.5, 0.09}, {0.5}, {0.5}});
  fleet.Publish({{"confirm", "/confirm/", kDeadlineMs, 2}});
  for (const auto& dispatcher : fleet.dispatchers) dispatcher->Launch();
  if (!fleet.AwaitReady()) return kCannotRun;
  rig::SleepMs(3'000);

  rig::Dispatcher& strong = *fleet.dispatchers[kStrong];
  rig::Dispatcher& weak = *fleet.dispatchers[kWeak];
  if (rig::IsTroubleOn()) {
    record.Write("SIGTERM to " + strong.Config().name);
    strong.Signal(SIGTERM);
    const std::int64_t limit = rig::NowMs() + kGraceMs;
    while (strong.IsRunning() && rig::NowMs() < limit) rig::SleepMs(10);
    strong.Kill();
    record.Write(strong.Config().name + " has ended");
  } else {
    rig::SleepMs(2'500);
  }

  std::map<int, int> answers;
  std::mutex mutex;
  std::vector<std::thread> clients;
  const std::int64_t start = rig::NowMs() + kRestartMs;
  std::thread trouble([&] {
    if (!rig::IsTroubleOn()) return;
    rig::SleepUntilMs(start);
    record.Write(strong.Config().name + " starts again");
    strong.Launch();
    rig::SleepUntilMs(start + kKillAfterMs);
    record.Write(weak.Config().name + " is killed");
    weak.Kill();
    rig::SleepMs(kDownMs);
    record.Write(weak.Config().name + " starts again");
    weak.Launch();
  });
  for (int i = 0; i < kJobs; ++i) {
    clients.emplace_back([&, i] {
      char path[64];
      std::snprintf(path, sizeof(path), "/confirm/5c0e7a21d94b%04x", i);
      const std::string body =
          rig::JobBody(1, kTaskCpu, kTaskMs, kEstimateMs, "r-1");
      std::size_t node = kWeak;
      for (int attempt = 0; attempt < 2; ++attempt) {
        const rig::Dispatcher::Settings& settings =
            fleet.dispatchers[node]->Config();
        record.Write(std::string("client sends POST ") + path + " to " +
                     settings.name);
        const rig::Answer answer =
            rig::Call(settings.front, "POST", rig::kHost, path, body,
                      kDeadlineMs, kDeadlineMs);
        record.Write("client gets " + std::to_string(answer.status) +
                     " to POST " + path);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++answers[answer.status];
        }
        const bool again =
            answer.status == 0 || answer.status == 502 || answer.status == 504;
        if (!again) return;
        rig::SleepMs(kResendMs);
        node = kOthers[static_cast<std::size_t>(i) % std::size(kOthers)];
      }
    });
    rig::SleepMs(kJobIntervalMs);
  }
  for (std::thread& client : clients) client.join();
  trouble.join();
  rig::SleepMs(1'000);

  std::map<std::string, std::vector<rig::Run>> runs_by_task;
  int starts = 0;
  for (const rig::Run& run : fleet.log.All()) {
    runs_by_task[run.task].push_back(run);
    ++starts;
  }
  int twice = 0;
  std::int64_t longest = 0;
  for (const auto& [task, runs] : runs_by_task) {
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t j = i + 1; j < runs.size(); ++j) {
        const std::int64_t begin = std::max(runs[i].begin_ms, runs[j].begin_ms);
        const auto end_of = [](const rig::Run& run) {
          return run.end_ms < 0 ? rig::NowMs() : run.end_ms;
        };
        const std::int64_t time =
            std::min(end_of(runs[i]), end_of(runs[j])) - begin;
        if (time <= 0) continue;
        ++twice;
        longest = std::max(longest, time);
        record.Write("twice: task=" + task + " on " + runs[i].worker + " and " +
                     runs[j].worker + " for " + std::to_string(time) + " ms");
      }
    }
  }
  record.Write("verdict: " + std::to_string(starts) + " starts, " +
               std::to_string(twice) + " tasks at work twice, longest " +
               std::to_string(longest) + " ms");
  std::printf("starts %d, twice %d, longest %ld ms; no answer %d, 504 %d\n",
              starts, twice, static_cast<long>(longest), answers[0],
              answers[504]);
  if (starts == 0) return kCannotRun;
  return twice > 0 ? kBroken : kHeld;
}
