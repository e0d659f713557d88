// The dispatcher that runs a job for another one freezes and wakes again. The
// client gets 502 and sends the job again. See claim.txt.

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>
#include <vector>

#include "rig/deployment.h"

namespace review {
namespace {

constexpr int kRunSeconds = 65;
constexpr int kJobIntervalMs = 700;
constexpr int kTasksPerJob = 1;
constexpr std::int64_t kTaskCpu = 2'000;
constexpr int kRunMs = 5'000;
constexpr int kTimeoutMs = 12'000;
constexpr int kResendMs = 1'300;
constexpr int kSends = 3;
constexpr int kFreezeIntervalMs = 10'000;
constexpr int kFreezeMs = 4'000;

using Clock = std::chrono::steady_clock;

// Freezes the two stronger dispatchers in turn.
void FreezeInTurn(Deployment& deployment, Clock::time_point end) {
  for (std::size_t i = 0;; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kFreezeIntervalMs));
    if (Clock::now() >= end) return;
    const std::size_t index = 1 + i % 2;
    deployment.record.Write("machine freezes dispatcher=" +
                            std::to_string(index));
    deployment.dispatchers[index]->Signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(kFreezeMs));
    deployment.dispatchers[index]->Signal(SIGCONT);
    deployment.record.Write("machine wakes dispatcher=" +
                            std::to_string(index));
  }
}

// Sends a job to the weak dispatcher. After no response, a broken connection,
// 502 or 504 sends it again, at most kSends times in all.
bool SendJob(Deployment& deployment, int number) {
  JobPlan plan;
  plan.id = Deployment::JobId(number);
  plan.job_spec = "book slot " + std::to_string(number);
  plan.count = kTasksPerJob;
  plan.cpu = kTaskCpu;
  plan.run_ms = kRunMs;
  const std::string front = deployment.dispatchers[0]->Front();
  for (int i = 0; i < kSends; ++i) {
    const int status = deployment.Submit(plan, front, kTimeoutMs);
    if (status == 200) return true;
    if (status != 0 && status != 502 && status != 504) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(kResendMs));
  }
  return false;
}

int Main() {
  DeploymentOptions options;
  options.cpu_shares = {"0.09", "0.25", "0.25"};
  options.timeout_ms = kTimeoutMs;
  Deployment deployment("review/1", options);
  if (!deployment.Start()) return Deployment::kNotRun;
  const Clock::time_point end =
      Clock::now() + std::chrono::seconds(kRunSeconds);
  std::thread trouble;
  if (Deployment::HasTrouble()) {
    trouble =
        std::thread([&deployment, end] { FreezeInTurn(deployment, end); });
  }
  std::vector<std::thread> clients;
  std::atomic<int> served = 0;
  for (int i = 0; Clock::now() < end; ++i) {
    clients.emplace_back([&deployment, &served, i] {
      if (SendJob(deployment, i + 1)) ++served;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(kJobIntervalMs));
  }
  for (std::thread& client : clients) client.join();
  if (trouble.joinable()) trouble.join();
  if (deployment.HasEndedProcess() || served == 0) return Deployment::kNotRun;
  const std::size_t twice = deployment.log.CountBreaches("TWICE");
  std::printf("served=%d TWICE=%zu LIMIT=%zu\n", served.load(), twice,
              deployment.log.CountBreaches("LIMIT"));
  return twice > 0 ? Deployment::kBroken : Deployment::kHeld;
}

}  // namespace
}  // namespace review

int main() { return review::Main(); }
