#include "scenarios.h"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace rig {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

constexpr char kHost[] = "nony24.example";
constexpr char kPrefix[] = "/lohu930/";
constexpr char kJob[] = "5c0e7a21d94b36f8";
// Declared run time of a long task, as in the platform's examples.
constexpr int kEstimateMs = 7'000;

Message Request(const char* method, const std::string& job) {
  Message request;
  request.method = method;
  request.target = kPrefix + job;
  request.headers["Host"] = kHost;
  return request;
}

// Waits up to `timeout_ms` until a run of the job has started.
bool AwaitStart(Fleet& fleet, const std::string& job, int timeout_ms) {
  for (int waited = 0; waited < timeout_ms; waited += 20) {
    if (!fleet.RunsOf(job).empty()) return true;
    SleepMs(20);
  }
  return false;
}

// Returns whether a task of the cancelled job is at work after `gone_ms`.
bool HasRunAfter(Fleet& fleet, Record& record, std::int64_t gone_ms) {
  bool broken = false;
  for (const Worker::History& run : fleet.RunsOf(kJob)) {
    const bool late = run.ended_ms < 0 || run.ended_ms > gone_ms;
    if (!late) continue;
    broken = true;
    record.Write(
        "BROKEN: task " + run.task + " run " + std::to_string(run.run) +
        " of the cancelled job, started at " + std::to_string(run.started_ms) +
        ", is at work at " + run.worker + " after " + std::to_string(gone_ms));
  }
  return broken;
}

// Returns whether two runs of one task of the job were at work at the same
// time.
bool HasRunsAtOnce(Fleet& fleet, Record& record, const std::string& job) {
  const std::vector<Worker::History> runs = fleet.RunsOf(job);
  bool broken = false;
  for (const Worker::History& first : runs) {
    for (const Worker::History& second : runs) {
      if (&first == &second || first.task != second.task) continue;
      if (first.started_ms > second.started_ms) continue;
      const std::int64_t end_ms =
          first.ended_ms < 0 ? record.NowMs() : first.ended_ms;
      if (end_ms <= second.started_ms) continue;
      broken = true;
      const std::int64_t both_end_ms =
          second.ended_ms < 0 ? end_ms : std::min(end_ms, second.ended_ms);
      record.Write("BROKEN: task " + first.task + " runs at " + first.worker +
                   " and at " + second.worker + " from " +
                   std::to_string(second.started_ms) + " to " +
                   std::to_string(both_end_ms));
    }
  }
  return broken;
}

// A job is cancelled. Its submission is answered with 502, after which clients
// send a job again.
int CancelThenResend(Fleet& fleet, bool with_trouble, Record& record) {
  constexpr int kWorkMs = 8'000;
  constexpr int kBudgetMs = 30'000;
  for (const char* name : {"front-1", "front-2", "front-3"}) {
    fleet.AddMachine(name, "bayanzurkh");
  }
  fleet.AddWorkers("bayanzurkh", 4);
  fleet.PutConfig(7, {{"r-1", kHost, kPrefix, kBudgetMs}});
  if (!fleet.Start()) return kCannotRun;
  SleepMs(fleet.bounds.contact_ms);
  const Message job = Submission(kHost, std::string(kPrefix) + kJob, 2, 2'000,
                                 kEstimateMs, kWorkMs, kBudgetMs);
  ClientCall submission(record, "submission", fleet.At("front-1").front, job,
                        kBudgetMs);
  if (!AwaitStart(fleet, kJob, 3'000)) return kCannotRun;
  SleepMs(1'000);
  ClientCall cancel(record, "cancel", fleet.At("front-1").front,
                    Request("DELETE", kJob), 4'000);
  const int cancel_status = cancel.Wait();
  if (cancel_status / 100 != 2 && cancel_status != 410) return kCannotRun;
  const std::int64_t gone_ms =
      cancel.EndedMs() + fleet.bounds.cancel_ms + fleet.bounds.stop_ms;
  const int status = submission.Wait();
  std::unique_ptr<ClientCall> copy;
  const bool sends_again = status == 0 || status == 502 || status == 504;
  if (with_trouble && sends_again) {
    SleepMs(fleet.bounds.resend_ms);
    copy = std::make_unique<ClientCall>(record, "copy",
                                        fleet.At("front-2").front, job, 8'000);
  }
  while (record.NowMs() < gone_ms + 1'000) SleepMs(20);
  return HasRunAfter(fleet, record, gone_ms) ? kBroken : kHeld;
}

// A zone is cut off from the other one while a worker there leaves stops
// without an answer. A job that is given up in that zone is sent again to the
// other.
int LateStopBehindCut(Fleet& fleet, bool with_trouble, Record& record) {
  constexpr int kBudgetMs = 1'500;
  constexpr int kWorkMs = 3'400;
  constexpr int kRounds = 3;
  constexpr int kCutMs = 5'000;
  fleet.AddMachine("front-1", "bayanzurkh");
  fleet.AddMachine("front-2", "songino");
  for (const char* name : {"front-1", "front-2"}) fleet.AddProxy(name);
  fleet.SetStaleSeeds();
  fleet.AddWorkers("bayanzurkh", 1);
  fleet.AddWorkers("songino", 1);
  fleet.PutConfig(7, {{"r-1", kHost, kPrefix, kBudgetMs}});
  if (!fleet.Start()) return kCannotRun;
  SleepMs(fleet.bounds.contact_ms);
  Worker& worker = *fleet.workers[0];
  // Short jobs of other clients keep the worker busy.
  std::atomic<bool> ended{false};
  std::thread clients([&fleet, &record, &ended] {
    const std::string front = fleet.At("front-1").front;
    for (int number = 0; !ended; ++number) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x1000 + number);
      ClientCall call(record, "short", front,
                      Submission(kHost, std::string(kPrefix) + id, 1, 2'000,
                                 200, 200, kBudgetMs),
                      kBudgetMs);
      call.Wait();
    }
  });
  std::vector<std::string> jobs;
  for (int round = 0; round < kRounds; ++round) {
    if (with_trouble) {
      record.Write("bayanzurkh is cut off from songino; " + worker.Id() +
                   " leaves stops without an answer");
      for (const char* name : {"front-1", "front-2"}) {
        fleet.At(name).proxy->SetCut(true);
      }
      worker.SetLateStops(true);
    }
    const std::int64_t heals_ms = record.NowMs() + kCutMs;
    SleepMs(200);
    const std::string job =
        std::string(kJob).substr(0, 15) + std::to_string(round);
    jobs.push_back(job);
    const Message request = Submission(kHost, std::string(kPrefix) + job, 2,
                                       2'000, 900, kWorkMs, kBudgetMs);
    ClientCall first(record, "first", fleet.At("front-1").front, request,
                     kBudgetMs);
    const int status = first.Wait();
    if (status == 0 || status == 502 || status == 504) {
      SleepMs(fleet.bounds.resend_ms);
      ClientCall again(record, "again", fleet.At("front-2").front, request,
                       kBudgetMs);
      again.Wait();
    }
    while (record.NowMs() < heals_ms) SleepMs(20);
    if (with_trouble) {
      const auto [orders, unanswered] = worker.OrderCounts();
      record.Write(worker.Id() + " has left " + std::to_string(unanswered) +
                   " of " + std::to_string(orders) +
                   " orders without an answer; the cut heals");
      worker.SetLateStops(false);
      for (const char* name : {"front-1", "front-2"}) {
        fleet.At(name).proxy->SetCut(false);
      }
    }
    SleepMs(4'000);
  }
  ended = true;
  clients.join();
  bool broken = false;
  for (const std::string& job : jobs) {
    broken = HasRunsAtOnce(fleet, record, job) || broken;
  }
  return broken ? kBroken : kHeld;
}

// The settings name no seeds any more. Each machine is stopped and started
// again.
int NoSeeds(Fleet& fleet, bool with_trouble, Record& record) {
  constexpr int kStartDelayMs = 300;
  constexpr int kReadyMs = 5'000;
  const std::vector<std::string> names = {"front-1", "front-2", "front-3"};
  for (const std::string& name : names) fleet.AddMachine(name, "bayanzurkh");
  fleet.AddWorkers("bayanzurkh", 4);
  fleet.PutConfig(7, {{"r-1", kHost, kPrefix}});
  if (!fleet.Start()) return kCannotRun;
  SleepMs(fleet.bounds.contact_ms);
  const std::size_t seeds = with_trouble ? 0 : 1;
  fleet.SetSeedCount(seeds);
  record.Write("the settings change: " + std::to_string(seeds) + " seeds");
  for (const std::string& name : names) {
    fleet.WriteSettings(fleet.At(name));
    fleet.Signal(name, SIGHUP);
  }
  SleepMs(2'000);
  int broken = 0;
  for (const std::string& name : names) {
    fleet.Signal(name, SIGTERM);
    for (int waited = 0; fleet.Runs(name); waited += 50) {
      if (waited > fleet.bounds.grace_s * 1'000) return kCannotRun;
      SleepMs(50);
    }
    SleepMs(kStartDelayMs);
    Fleet::Machine& machine = fleet.At(name);
    fleet.StartMachine(machine);
    bool ready = false;
    for (int waited = 0; !ready && waited < kReadyMs; waited += 100) {
      SleepMs(100);
      ready = fleet.Runs(name) && fleet.IsReady(machine);
    }
    if (ready) continue;
    ++broken;
    record.Write("BROKEN: " + name + " does not start");
  }
  ClientCall call(
      record, "after", fleet.At("front-1").front,
      Submission(kHost, std::string(kPrefix) + kJob, 2, 2'000, 60, 60, 1'500),
      1'500);
  record.Write("status after the stops: " + std::to_string(call.Wait()));
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace

int Play(const std::string& scenario, bool with_trouble,
         const std::string& folder, Record& record) {
  Fleet fleet(folder, record);
  if (scenario == "cancel-then-resend") {
    return CancelThenResend(fleet, with_trouble, record);
  }
  if (scenario == "late-stop-behind-cut") {
    return LateStopBehindCut(fleet, with_trouble, record);
  }
  if (scenario == "no-seeds") return NoSeeds(fleet, with_trouble, record);
  std::cerr << "unknown scenario " << scenario << std::endl;
  return kCannotRun;
}

}  // namespace rig
