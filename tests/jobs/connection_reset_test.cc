// Resets connections between processes at random and checks for each seed that
// no task runs twice at the same time and that no endpoint exceeds its
// capacity. Messages around a reset are lost, or up to 250 ms late and
// overtaken by later ones. RESET_SEEDS sets the number of seeds and
// RESET_FIRST_SEED the first seed.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using jobs::JobEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDefaultSeedCount = 20;
constexpr int kSteps = 1'000;
constexpr base::Duration kStep = milliseconds(10);
// Time after which a caller submits a job again that has no answer.
constexpr base::Duration kResendTime = milliseconds(1'300);
constexpr base::Duration kMaxLateness = milliseconds(250);
constexpr std::int64_t kTaskCpuMilli = 6'800;
constexpr std::uint32_t kStrongWeight = 4;

class ResetScenario {
 public:
  explicit ResetScenario(std::uint64_t seed)
      : fleet(seed), random(seed * 7'919) {
    this->fleet.Publish("1 /l/:1:4000");
    for (const char* domain : {"north", "south"}) {
      for (int i = 0; i < 3; ++i) {
        this->fleet.AddEndpoint(fmt::format("{}-e{}", domain, i), domain,
                                16'000, 0.6 + this->random.UniformFraction());
      }
    }
    this->names = {"north0", "south0", "north1", "north2"};
    this->names.resize(2 + this->random.Below(3));
    for (const std::string& name : this->names) this->Launch(name);
    this->fleet.Run(seconds(2));
  }

  void RunSteps() {
    for (int step = 0; step < kSteps; ++step) {
      if (this->random.Chance(0.2)) this->SubmitNewJob();
      if (this->random.Chance(0.04)) this->AbandonJob();
      if (this->random.Chance(0.05)) this->ResetConnection();
      if (this->random.Chance(0.002)) this->Restart();
      this->SubmitAgain();
      this->fleet.Run(kStep);
    }
    this->fleet.network.HealAll();
    this->fleet.Run(seconds(6));
  }

  void CheckInvariants() const {
    EXPECT_TRUE(this->fleet.endpoints.Violations().empty())
        << this->fleet.endpoints.Violations().front();
    EXPECT_GT(this->fleet.endpoints.Starts(), 100U);
  }

 private:
  struct Submission {
    std::string id;
    std::string process;
    std::uint64_t caller = 0;
    int tasks = 0;
    base::Duration time{0};
    std::shared_ptr<std::optional<JobEnd>> answer;
    /// Time at which the caller submits the job again; empty before its
    /// submission has failed.
    std::optional<base::TimePoint> resend_at;
  };

  // The last process is an entry.
  void Launch(const std::string& name) {
    this->fleet.AddProcess(name, name.substr(0, name.size() - 1),
                           name == "north2" ? 1 : kStrongWeight);
  }

  std::string RandomProcess() {
    return this->names[this->random.Below(this->names.size())];
  }

  void SubmitNewJob() {
    Submission job;
    job.id = fmt::format("{:016x}", this->next_job++);
    job.tasks = 1 + static_cast<int>(this->random.Below(4));
    job.time = this->random.Between(milliseconds(40), milliseconds(900));
    this->fleet.endpoints.SetTask(job.id, job.time, runs::RunEndKind::kDone);
    this->fleet.endpoints.SetCpu(job.id, kTaskCpuMilli);
    this->Submit(job, this->RandomProcess());
  }

  void Submit(Submission job, const std::string& process) {
    jobs::JobRequest request;
    request.id = job.id;
    request.host = "h";
    request.path = "/l/" + job.id;
    request.payload = job.id;
    request.task_count = job.tasks;
    request.resources = {kTaskCpuMilli, 64, 0};
    request.estimate = job.time;
    job.process = process;
    job.resend_at.reset();
    job.answer = std::make_shared<std::optional<JobEnd>>();
    job.caller = this->fleet.Process(process).relay.Submit(
        request, [answer = job.answer](const jobs::JobAnswer& given) {
          *answer = given.end;
        });
    this->open.push_back(std::move(job));
  }

  // A caller leaves. Half of them submit the job again at once, at the same
  // process.
  void AbandonJob() {
    if (this->open.empty()) return;
    const std::size_t index = this->random.Below(this->open.size());
    const Submission job = this->open[index];
    if (job.resend_at || job.answer->has_value()) return;
    this->open.erase(this->open.begin() + static_cast<std::ptrdiff_t>(index));
    this->fleet.Process(job.process).relay.Abandon(job.id, job.caller);
    if (this->random.Chance(0.5)) this->Submit(job, job.process);
  }

  // Submits failed jobs again, at any process.
  void SubmitAgain() {
    const base::TimePoint now = this->fleet.clock.Now();
    std::vector<Submission> due;
    std::erase_if(this->open, [now, &due](Submission& job) {
      if (job.resend_at) {
        if (now < *job.resend_at) return false;
        due.push_back(job);
        return true;
      }
      if (!job.answer->has_value()) return false;
      const JobEnd end = **job.answer;
      if (end != JobEnd::kInterrupted && end != JobEnd::kTimedOut) return true;
      job.resend_at = now + kResendTime;
      return false;
    });
    for (const Submission& job : due) this->Submit(job, this->RandomProcess());
  }

  void ResetConnection() {
    const std::string from = this->RandomProcess();
    const std::string to = this->RandomProcess();
    this->fleet.network.Disturb(from, to,
                                {0.3, base::Duration{0}, kMaxLateness});
    this->fleet.clock.StartTimer(
        this->random.Between(milliseconds(1), milliseconds(100)),
        [this, from, to] { this->fleet.network.Calm(from, to); });
  }

  // Kills a process and starts it again at once. Its callers notice.
  void Restart() {
    const std::string name = this->RandomProcess();
    this->fleet.Kill(name);
    for (Submission& job : this->open) {
      if (job.process != name || job.resend_at || job.answer->has_value())
        continue;
      job.resend_at = this->fleet.clock.Now() + kResendTime;
    }
    this->Launch(name);
  }

  HostedFleet fleet;
  Random random;
  std::vector<std::string> names;
  std::vector<Submission> open;
  std::uint64_t next_job = 1;
};

std::uint64_t NumberFrom(const char* variable, std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

TEST(ConnectionResetTest, NoTaskRunsTwice) {
  const std::uint64_t first = NumberFrom("RESET_FIRST_SEED", 1);
  const std::uint64_t count = NumberFrom("RESET_SEEDS", kDefaultSeedCount);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    ResetScenario scenario(seed);
    scenario.RunSteps();
    scenario.CheckInvariants();
  }
}

}  // namespace
}  // namespace hawthornwheel::testing
