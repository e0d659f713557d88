// Two machines are killed 0.59 s apart: the one that runs young jobs, then one
// that holds the workers of their tasks and has not noticed the first loss.
// Checks that no task of the jobs, which the clients send again, runs twice at
// the same time.
//
//     case_7 FOLDER RECORD

#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "client.h"
#include "fleet.h"

namespace {

constexpr std::int64_t kResendMs = 1'300;

// Time from the kill of the first machine to that of the second one.
constexpr std::int64_t kGapMs = 590;
// Time from a kill to the start of the process; the site file has `down_s` 1.6.
constexpr std::int64_t kDownMs = 1'600;

// The kind of request with long tasks: estimated at 0.9 s, at most 3.6 s.
constexpr int kTaskMs = 3'000;
constexpr int kEstimateMs = 900;
constexpr int kTaskCpu = 10'000;
constexpr int kDeadlineMs = 1'500;
constexpr int kJobs = 12;
constexpr std::int64_t kJobIntervalMs = 12;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Dispatchers: three in zone 0 and two in each other zone, as on the sheet. The
// tasks need workers of zone 1.
constexpr std::size_t kFirst = 0;
constexpr std::size_t kSecond = 3;
constexpr std::size_t kOthers[] = {1, 2, 4, 5, 6};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return kCannotRun;
  rig::Record record(argv[2]);
  rig::Fleet fleet(rig::ProgramPath(), argv[1], record, {3, 2, 2}, 12, 16'000);
  fleet.Publish({{"confirm", "/confirm/", kDeadlineMs, 2}});
  for (const auto& dispatcher : fleet.dispatchers) dispatcher->Launch();
  if (!fleet.AwaitReady()) return kCannotRun;
  rig::SleepMs(3'000);

  std::map<int, int> answers;
  std::mutex mutex;
  std::vector<std::thread> clients;
  for (int i = 0; i < kJobs; ++i) {
    clients.emplace_back([&, i] {
      char path[64];
      std::snprintf(path, sizeof(path), "/confirm/5c0e7a21d94b%04x", i);
      const std::string body =
          rig::JobBody(1, kTaskCpu, kTaskMs, kEstimateMs, "r-1");
      std::size_t node = kFirst;
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
  if (rig::IsTroubleOn()) {
    record.Write(fleet.dispatchers[kFirst]->Config().name + " is killed");
    fleet.dispatchers[kFirst]->Kill();
    rig::SleepMs(kGapMs);
    record.Write(fleet.dispatchers[kSecond]->Config().name + " is killed");
    fleet.dispatchers[kSecond]->Kill();
    rig::SleepMs(kDownMs - kGapMs);
    record.Write(fleet.dispatchers[kFirst]->Config().name + " starts again");
    fleet.dispatchers[kFirst]->Launch();
    rig::SleepMs(kGapMs);
    record.Write(fleet.dispatchers[kSecond]->Config().name + " starts again");
    fleet.dispatchers[kSecond]->Launch();
  }
  for (std::thread& client : clients) client.join();
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
