// A worker carries out orders whose answers are lost: it closes the connection
// 150 ms after the order without an answer. See claim.txt.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <random>
#include <thread>
#include <vector>

#include "rig/deployment.h"

namespace review {
namespace {

constexpr int kJobs = 200;
constexpr int kMinIntervalMs = 150;
constexpr int kMaxIntervalMs = 350;
constexpr int kTasksPerJob = 2;
constexpr std::int64_t kTaskCpu = 6'800;
constexpr int kMinRunMs = 600;
constexpr int kMaxRunMs = 1'200;
constexpr int kTimeoutMs = 8'000;
constexpr double kLostShare = 0.4;
constexpr int kResetAfterMs = 150;
// One of seven workers has the fault at a time, for about 5 s.
constexpr int kJobsPerFault = 20;

// Loses a share of the answers to starts.
Worker::AnswerFault LoseAnswers(int seed) {
  return [random = std::mt19937(static_cast<std::uint32_t>(seed))](
             const std::string& path) mutable {
    const bool lost =
        path == "/run-start" && std::bernoulli_distribution(kLostShare)(random);
    return lost ? std::optional<int>(kResetAfterMs) : std::nullopt;
  };
}

int Main() {
  DeploymentOptions options;
  options.workers = 7;
  options.timeout_ms = kTimeoutMs;
  Deployment deployment("review/2", options);
  if (!deployment.Start()) return Deployment::kNotRun;
  std::vector<std::thread> clients;
  std::atomic<int> served = 0;
  std::atomic<int> refused_but_run = 0;
  std::mt19937 random(2);
  std::size_t faulty = 0;
  for (int i = 0; i < kJobs; ++i) {
    if (Deployment::HasTrouble() && i % kJobsPerFault == 0) {
      deployment.workers[faulty]->SetAnswerFault(nullptr);
      faulty = (faulty + 1) % deployment.workers.size();
      deployment.workers[faulty]->SetAnswerFault(LoseAnswers(i));
    }
    const int run_ms =
        std::uniform_int_distribution<>(kMinRunMs, kMaxRunMs)(random);
    clients.emplace_back([&deployment, &served, &refused_but_run, i, run_ms] {
      JobPlan plan;
      plan.id = Deployment::JobId(i + 1);
      plan.job_spec = "book slot " + std::to_string(i);
      plan.count = kTasksPerJob;
      plan.cpu = kTaskCpu;
      plan.run_ms = run_ms;
      const int status = deployment.Submit(
          plan, deployment.dispatchers[i % 2]->Front(), kTimeoutMs);
      if (status == 200) ++served;
      if (status == 503 && deployment.log.CountRuns(plan.id) > 0) {
        ++refused_but_run;
        deployment.log.AddBreach("REFUSED", "job=" + plan.id);
      }
    });
    std::this_thread::sleep_for(
        std::chrono::milliseconds(std::uniform_int_distribution<>(
            kMinIntervalMs, kMaxIntervalMs)(random)));
  }
  for (std::thread& client : clients) client.join();
  if (deployment.HasEndedProcess() || served == 0) return Deployment::kNotRun;
  const std::size_t twice = deployment.log.CountBreaches("TWICE");
  const std::size_t limit = deployment.log.CountBreaches("LIMIT");
  std::printf("served=%d TWICE=%zu LIMIT=%zu REFUSED=%d\n", served.load(),
              twice, limit, refused_but_run.load());
  return twice > 0 ? Deployment::kBroken : Deployment::kHeld;
}

}  // namespace
}  // namespace review

int main() { return review::Main(); }
