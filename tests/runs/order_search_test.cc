// Searches the orders of claims, starts, stops, rechecks, restarts and cuts at
// one endpoint, with orders that are delivered, lost, late, or whose connection
// ends, for one and for two holders.
//
// Invariant: a run that its session reports as ended is not at work, and never
// starts afterwards; no two runs of a task are at work at the same time; the
// endpoint is never over its capacity, and its holder offers no resources that
// a run uses; a start without an answer is rechecked in time and settled by the
// first list that shows its outcome; a run whose job has ended is not at work
// when a copy of the job may come; at last every run has been settled, no run
// goes on, the endpoint is held, and an idle endpoint is not asked again.
//
// ORDER_FAULTS sets the number of faults of the exhaustive part, ORDER_CHOICES
// among how many choices; ORDER_SEEDS and ORDER_FIRST_SEED set the seeds of the
// random parts, one with even faults and one with faults close together, as a
// fault during the recovery from another needs them. The first order that
// breaks the invariant in some way is printed with its trace.
//
// An order that is carried out late by a later incarnation than it was sent to
// breaks the invariant; this is open (KNOWN-RED.txt, soak seed 1). Such
// violations are counted and printed, and fail the test with ORDER_OPEN=1.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <map>

#include "base/logger.h"
#include "support/order_world.h"

namespace hawthornwheel::testing {
namespace {

constexpr std::uint64_t kDefaultSeeds = 3'000;
constexpr std::uint64_t kDefaultBurstSeeds = 10'000;
constexpr std::uint64_t kDefaultFaults = 2;
constexpr std::uint64_t kDefaultChoices = 20;
constexpr double kDeviation = 0.12;
constexpr double kBurstStart = 0.04;
constexpr Choices::Burst kBurst = {.length = 8, .deviation = 0.4};
constexpr std::size_t kMaxTraceLines = 200;

std::uint64_t NumberFrom(const char* variable, std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string NameOf(const ::testing::TestParamInfo<OrderWorld::Setup>& row) {
  return std::string(row.param.two_claims ? "TwoClaims" : "OneClaim") +
         (row.param.slow_clock ? "SlowClock" : "");
}

class OrderSearchTest : public ::testing::TestWithParam<OrderWorld::Setup> {
 protected:
  void SetUp() override { base::SetLogLevel(base::LogLevel::kError); }
  void TearDown() override { base::SetLogLevel(base::LogLevel::kInfo); }

  /// Plays one order and returns the choices that it took.
  std::vector<Choices::Choice> Play(Choices choices, const std::string& name) {
    OrderWorld world(choices, GetParam());
    world.Play();
    ++this->plays;
    for (const std::string& text : world.OpenViolations()) {
      ++this->open[text];
    }
    if (!world.OpenViolations().empty()) {
      ++this->open_plays;
      if (NumberFrom("ORDER_OPEN", 0) != 0 && this->open_plays == 1) {
        this->Report(name, choices.Taken(), world.OpenViolations().front());
      }
    }
    if (!world.Violations().empty()) {
      ++this->broken_plays;
      const std::string& text = world.Violations().front();
      if (this->found[text]++ == 0) {
        this->Report(name, choices.Taken(), text);
      }
    }
    return choices.Taken();
  }

  void Report(const std::string& name,
              const std::vector<Choices::Choice>& taken,
              const std::string& text) {
    std::vector<int> prefix;
    prefix.reserve(taken.size());
    for (const auto& choice : taken) prefix.push_back(choice.taken);
    Choices again(prefix);
    OrderWorld::Setup setup = GetParam();
    setup.traced = true;
    OrderWorld world(again, setup);
    world.Play();
    std::string lines;
    std::size_t count = 0;
    for (const std::string& line : world.Trace()) {
      lines += line + "\n";
      const bool is_violation = line.find("VIOLATION") != std::string::npos;
      if (is_violation || ++count > kMaxTraceLines) break;
    }
    ADD_FAILURE() << name << ": " << text << "\n" << lines;
  }

  void Explore(const std::vector<int>& prefix, std::uint64_t faults) {
    const auto taken = this->Play(Choices(prefix), "exhaustive");
    if (faults == 0) return;
    const std::size_t end = std::min<std::size_t>(
        taken.size(), NumberFrom("ORDER_CHOICES", kDefaultChoices));
    for (std::size_t i = prefix.size(); i < end; ++i) {
      std::vector<int> next;
      for (std::size_t k = 0; k < i; ++k) next.push_back(taken[k].taken);
      next.push_back(0);
      for (int other = 1; other < taken[i].count; ++other) {
        next.back() = other;
        this->Explore(next, faults - 1);
      }
    }
  }

  void Summarize() const {
    fmt::print("plays={} broken={} open={}\n", this->plays, this->broken_plays,
               this->open_plays);
    for (const auto& [text, count] : this->found) {
      fmt::print("  broken {}: {}\n", count, text);
    }
    for (const auto& [text, count] : this->open) {
      fmt::print("  open {}: {}\n", count, text);
    }
  }

  std::uint64_t plays = 0;
  std::uint64_t broken_plays = 0;
  std::uint64_t open_plays = 0;
  std::map<std::string, int> found;
  std::map<std::string, int> open;
};

TEST_P(OrderSearchTest, FewFaultsKeepTheInvariant) {
  this->Explore({}, NumberFrom("ORDER_FAULTS", kDefaultFaults));
  this->Summarize();
}

TEST_P(OrderSearchTest, RandomFaultsKeepTheInvariant) {
  const std::uint64_t first = NumberFrom("ORDER_FIRST_SEED", 1);
  const std::uint64_t count = NumberFrom("ORDER_SEEDS", kDefaultSeeds);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    this->Play(Choices(seed, kDeviation), fmt::format("seed {}", seed));
  }
  this->Summarize();
}

TEST_P(OrderSearchTest, FaultsCloseTogetherKeepTheInvariant) {
  const std::uint64_t first = NumberFrom("ORDER_FIRST_SEED", 1);
  const std::uint64_t count = NumberFrom("ORDER_SEEDS", kDefaultBurstSeeds);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    this->Play(Choices(seed, kBurstStart, kBurst),
               fmt::format("burst of seed {}", seed));
  }
  this->Summarize();
}

INSTANTIATE_TEST_SUITE_P(
    Setups, OrderSearchTest,
    ::testing::Values(OrderWorld::Setup{},
                      OrderWorld::Setup{.two_claims = true},
                      OrderWorld::Setup{.slow_clock = true},
                      OrderWorld::Setup{.two_claims = true,
                                        .slow_clock = true}),
    NameOf);

// The runs that are to stop belong to jobs that have ended.
INSTANTIATE_TEST_SUITE_P(
    JobsEnd, OrderSearchTest,
    ::testing::Values(OrderWorld::Setup{.jobs_end = true},
                      OrderWorld::Setup{.two_claims = true, .jobs_end = true},
                      OrderWorld::Setup{.slow_clock = true, .jobs_end = true},
                      OrderWorld::Setup{.two_claims = true,
                                        .slow_clock = true,
                                        .jobs_end = true}),
    NameOf);

// An order that is carried out late holds its whole lease from then on.
INSTANTIATE_TEST_SUITE_P(
    LeaseOnArrival, OrderSearchTest,
    ::testing::Values(OrderWorld::Setup{.lease_on_arrival = true},
                      OrderWorld::Setup{.two_claims = true,
                                        .lease_on_arrival = true}),
    NameOf);

}  // namespace
}  // namespace hawthornwheel::testing
