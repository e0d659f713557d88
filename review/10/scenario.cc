// The platform changes graceS to a fraction, sends SIGHUP, and stops and starts
// the machines in turn. Checks that the program starts again.
//
//     case_10 FOLDER RECORD

#include <csignal>
#include <cstdio>
#include <string>

#include "client.h"
#include "fleet.h"

namespace {

// graceS before and after the change. Without the disruption, the new figure is
// a whole number.
constexpr char kNewGrace[] = "6.5";
constexpr char kNewWholeGrace[] = "7";
constexpr std::int64_t kGraceMs = 6'500;
constexpr std::int64_t kReadyTimeoutMs = 8'000;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

int CountServed(rig::Fleet& fleet, int round) {
  int served = 0;
  for (std::size_t i = 0; i < fleet.dispatchers.size(); ++i) {
    char path[64];
    std::snprintf(path, sizeof(path), "/check/5c0e7a21d94b%02x%02x", round,
                  static_cast<int>(i));
    const rig::Answer answer =
        rig::Call(fleet.dispatchers[i]->Config().front, "POST", rig::kHost,
                  path, rig::JobBody(4, 1'000, 60, 60), 1'500, 1'500);
    fleet.record.Write("client gets " + std::to_string(answer.status) +
                       " to POST " + path + " at " +
                       fleet.dispatchers[i]->Config().name);
    if (answer.status == 200) ++served;
  }
  return served;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return kCannotRun;
  rig::Record record(argv[2]);
  rig::Fleet fleet(rig::ProgramPath(), argv[1], record, {2, 1}, 2, 16'000);
  fleet.Publish({{"check", "/check/", 1'500, 0}});
  for (const auto& dispatcher : fleet.dispatchers) dispatcher->Launch();
  if (!fleet.AwaitReady()) return kCannotRun;
  rig::SleepMs(2'500);
  const int served_before = CountServed(fleet, 0);
  if (served_before == 0) return kCannotRun;

  const std::string grace = rig::IsTroubleOn() ? kNewGrace : kNewWholeGrace;
  record.Write("settings change: graceS = " + grace + ", SIGHUP");
  for (const auto& dispatcher : fleet.dispatchers) {
    dispatcher->ChangeGrace(grace);
    dispatcher->Signal(SIGHUP);
  }
  rig::SleepMs(1'500);
  int started = 0;
  for (const auto& dispatcher : fleet.dispatchers) {
    record.Write("SIGTERM to " + dispatcher->Config().name);
    dispatcher->Signal(SIGTERM);
    const std::int64_t kill_time = rig::NowMs() + kGraceMs;
    while (dispatcher->IsRunning() && rig::NowMs() < kill_time)
      rig::SleepMs(20);
    dispatcher->Kill();
    dispatcher->Launch();
    const std::int64_t limit = rig::NowMs() + kReadyTimeoutMs;
    bool ready = false;
    while (!ready && dispatcher->IsRunning() && rig::NowMs() < limit) {
      ready = dispatcher->Ready() == 200;
      rig::SleepMs(20);
    }
    if (ready) ++started;
    record.Write(dispatcher->Config().name +
                 (ready ? " has started again"
                        : " has not started, exit code " +
                              std::to_string(dispatcher->ExitCode())));
  }
  rig::SleepMs(2'500);
  const int served_after = CountServed(fleet, 1);
  const int count = static_cast<int>(fleet.dispatchers.size());
  record.Write("verdict: " + std::to_string(started) + " of " +
               std::to_string(count) + " have started again, served " +
               std::to_string(served_before) + " before and " +
               std::to_string(served_after) + " after");
  std::printf("started again %d of %d, served %d before, %d after\n", started,
              count, served_before, served_after);
  return started < count ? kBroken : kHeld;
}
