// Injects random faults into the processes on the users' platform and checks
// for each seed that no task runs twice at the same time, that no endpoint
// exceeds its capacity and that no task of a refused job runs. HOSTED_SEEDS
// sets the number of seeds and HOSTED_FIRST_SEED the first seed.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using jobs::JobEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDefaultSeedCount = 40;
constexpr int kSteps = 400;
constexpr base::Duration kStep = milliseconds(50);

struct Submission {
  std::string payload;
  std::string process;
  std::shared_ptr<std::optional<jobs::JobAnswer>> answer;
};

class Scenario {
 public:
  explicit Scenario(std::uint64_t seed) : fleet(seed), random(seed * 977) {
    this->fleet.Publish("1 /a/:1 /u/:0");
    for (const char* domain : {"north", "south", "west"}) {
      for (int i = 0; i < 4; ++i) {
        this->fleet.AddEndpoint(std::string(domain) + "-e" + std::to_string(i),
                                domain,
                                this->random.Chance(0.3) ? 24'000 : 16'000,
                                0.6 + this->random.UniformFraction());
      }
      for (int i = 0; i < 3; ++i) {
        this->names.emplace_back(std::string(domain) + std::to_string(i),
                                 domain);
      }
    }
    for (const auto& [name, domain] : this->names) this->Launch(name, domain);
    this->fleet.Run(seconds(2));
  }

  void RunSteps() {
    for (int step = 0; step < kSteps; ++step) {
      this->SubmitJobs();
      if (this->random.Chance(0.06)) this->InjectFault();
      if (this->random.Chance(0.08)) this->RepairFault();
      this->fleet.Run(kStep);
    }
    this->RepairAll();
    this->fleet.Run(seconds(20));
  }

  void CheckInvariants() const {
    EXPECT_TRUE(this->fleet.endpoints.Violations().empty())
        << this->fleet.endpoints.Violations().front();
    for (const Submission& submission : this->submissions) {
      const bool answered = submission.answer->has_value();
      if (!answered) continue;
      const JobEnd end = (**submission.answer).end;
      if (end == JobEnd::kRejected || end == JobEnd::kNotReady) {
        EXPECT_EQ(this->fleet.endpoints.StartsOf(submission.payload), 0U)
            << submission.payload << " was refused by " << submission.process;
      }
    }
    EXPECT_GT(this->fleet.endpoints.Starts(), 100U);
  }

 private:
  // The last process of each domain has a lower weight, so that it is an entry
  // process while a stronger one is up.
  void Launch(const std::string& name, const std::string& domain) {
    constexpr std::uint32_t kStrongWeight = 4;
    this->fleet.AddProcess(name, domain,
                           name.back() == '2' ? 1 : kStrongWeight);
  }

  void SubmitJobs() {
    for (const auto& process : this->fleet.processes) {
      if (process->clock.IsPaused() || !this->random.Chance(0.5)) continue;
      const int tasks = 1 + static_cast<int>(this->random.Below(5));
      const auto time =
          this->random.Between(milliseconds(40), milliseconds(900));
      const bool urgent = this->random.Chance(0.3);
      Submission job;
      job.process = process->name;
      job.answer = this->fleet.Submit(process->name, urgent ? "/u/" : "/a/",
                                      tasks, time);
      job.payload = fmt::format("{:016x}", this->submissions.size() + 1);
      this->submissions.push_back(job);
    }
  }

  const std::string& RandomProcessName() {
    return this->names[this->random.Below(this->names.size())].first;
  }

  std::string RandomEndpoint() {
    const char* domains[] = {"north", "south", "west"};
    return fmt::format("{}-e{}", domains[this->random.Below(3)],
                       this->random.Below(4));
  }

  void InjectFault() {
    const std::string& name = this->RandomProcessName();
    const std::string endpoint = this->RandomEndpoint();
    switch (this->random.Below(8)) {
      case 0:
        if (this->fleet.processes.size() > 2) this->fleet.Kill(name);
        return;
      case 1:
        if (this->fleet.IsUp(name)) this->fleet.Process(name).clock.Pause();
        return;
      case 2:
        this->fleet.network.Partition("south", "north");
        this->fleet.network.Partition("north", "south");
        return;
      case 3:
        this->fleet.network.Partition("west", "north");
        return;
      case 4:
        this->fleet.endpoints.Partition("north", "west");
        return;
      case 5:
        this->fleet.endpoints.SetSilent(endpoint, true);
        return;
      case 6: {
        LeasedEndpoints::Faults faults;
        faults.late = 0.1;
        faults.answer_lost = 0.1;
        this->fleet.endpoints.SetFaults(faults);
        return;
      }
      default:
        this->fleet.store.SetDown(this->random.Chance(0.5) ? "" : name, true);
        return;
    }
  }

  void RepairFault() {
    switch (this->random.Below(6)) {
      case 0:
        for (const auto& [name, domain] : this->names) {
          if (!this->fleet.IsUp(name)) this->Launch(name, domain);
        }
        return;
      case 1:
        for (const auto& process : this->fleet.processes) {
          process->clock.Resume();
        }
        return;
      case 2:
        this->fleet.network.HealAll();
        return;
      case 3:
        this->fleet.endpoints.HealAll();
        for (const char* domain : {"north", "south", "west"}) {
          for (int i = 0; i < 4; ++i) {
            this->fleet.endpoints.SetSilent(fmt::format("{}-e{}", domain, i),
                                            false);
          }
        }
        return;
      case 4:
        this->fleet.endpoints.SetFaults({});
        return;
      default:
        this->fleet.store.SetDown("", false);
        for (const auto& [name, domain] : this->names) {
          this->fleet.store.SetDown(name, false);
        }
        return;
    }
  }

  void RepairAll() {
    for (int attempt = 0; attempt < 60; ++attempt) this->RepairFault();
  }

  HostedFleet fleet;
  Random random;
  std::vector<std::pair<std::string, std::string>> names;
  std::vector<Submission> submissions;
};

std::uint64_t NumberFrom(const char* variable, std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

TEST(HostedFaultTest, KeepsAllGuarantees) {
  const std::uint64_t first = NumberFrom("HOSTED_FIRST_SEED", 1);
  const std::uint64_t count = NumberFrom("HOSTED_SEEDS", kDefaultSeedCount);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    Scenario scenario(seed);
    scenario.RunSteps();
    scenario.CheckInvariants();
    if (HasFailure()) return;
  }
}

}  // namespace
}  // namespace hawthornwheel::testing
