#include "dispatch/fault_scenario.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "base/logger.h"

namespace hawthornwheel::testing {
namespace {

std::uint64_t ReadEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

// Runs the seeds of one shard. FAULT_FIRST_SEED sets the first seed of the
// first shard and FAULT_SEEDS the number of seeds per shard.
class FaultScenarioTest : public ::testing::TestWithParam<int> {};

constexpr int kShards = 10;
constexpr std::uint64_t kSeedsPerShard = 100;

TEST_P(FaultScenarioTest, KeepsAllGuarantees) {
  base::SetLogLevel(base::LogLevel::kError);
  const std::uint64_t seeds = ReadEnvironment("FAULT_SEEDS", kSeedsPerShard);
  const std::uint64_t first = ReadEnvironment("FAULT_FIRST_SEED", 1) +
                              static_cast<std::uint64_t>(GetParam()) * seeds;
  ScenarioCounts total;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    FaultScenario scenario(seed);
    const std::vector<std::string> violations = scenario.Run();
    for (const std::string& violation : violations) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    const ScenarioCounts& counts = scenario.Counts();
    total.jobs += counts.jobs;
    total.completed += counts.completed;
    total.not_run += counts.not_run;
    total.may_have_run += counts.may_have_run;
    total.kills += counts.kills;
    total.pauses += counts.pauses;
    total.config_conflicts += counts.config_conflicts;
    total.resubmissions += counts.resubmissions;
    if (HasFailure()) break;
  }
  fmt::print(
      "jobs={} completed={} not_run={} may_have_run={} resubmissions={} "
      "kills={} pauses={} conflicts={}\n",
      total.jobs, total.completed, total.not_run, total.may_have_run,
      total.resubmissions, total.kills, total.pauses, total.config_conflicts);
  // Guards against runs without jobs and failures, which would pass all checks.
  EXPECT_GT(total.completed, total.jobs / 4);
  EXPECT_GT(total.not_run, 0U);
  EXPECT_GT(total.may_have_run, 0U);
}

INSTANTIATE_TEST_SUITE_P(Shards, FaultScenarioTest,
                         ::testing::Range(0, kShards));

}  // namespace
}  // namespace hawthornwheel::testing
