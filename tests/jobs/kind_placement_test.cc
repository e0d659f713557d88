// Load: endpoints of a fast and a slow kind, which are labels of their entries.
// Long tasks end in time at the fast kind only. An endpoint that had not run
// anything was taken for average, whatever its kind.

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPath[] = "/a/";
constexpr double kFast = 0.6;
constexpr double kSlow = 1.6;
constexpr int kEndpointsPerKind = 4;
// Room for two tasks.
constexpr std::int64_t kCpuMilli = 16'000;
const std::vector<std::string> kProcesses = {"north0", "north1"};

class KindPlacementTest : public ::testing::Test {
 protected:
  KindPlacementTest() { this->fleet.Publish("1 /a/:1"); }

  void TearDown() override {
    EXPECT_TRUE(this->fleet.endpoints.Violations().empty());
  }

  void Add(const std::string& id, double pace, const std::string& kind) {
    this->fleet.AddEndpoint(id, "north", kCpuMilli, pace);
    if (!kind.empty()) this->fleet.SetLabels(id, {kind, "rack-" + id});
  }

  // Starts two processes with endpoints of both kinds.
  void Start(double fast = kFast, double slow = kSlow,
             const std::string& fast_kind = "fast",
             const std::string& slow_kind = "slow") {
    for (int i = 0; i < kEndpointsPerKind; ++i) {
      this->Add("f" + std::to_string(i), fast, fast_kind);
      this->Add("s" + std::to_string(i), slow, slow_kind);
    }
    for (const std::string& name : kProcesses) {
      this->fleet.AddProcess(name, "north");
    }
    this->fleet.Run(seconds(2));
  }

  // Fills all endpoints with short tasks several times, so that the paces are
  // learned.
  void Learn() {
    for (int i = 0; i < 30; ++i) {
      this->fleet.Submit(kProcesses[i % kProcesses.size()], kPath,
                         4 * kEndpointsPerKind, milliseconds(100));
      this->fleet.Run(milliseconds(300));
    }
    this->fleet.Run(seconds(1));
  }

  // Fills all endpoints with tasks that take some seconds.
  void FillAll() {
    this->fleet.Publish("2 /a/:1:10000");
    this->fleet.Run(seconds(2));
    for (int i = 0; i < 4 * kEndpointsPerKind; ++i) {
      this->fleet.Submit(kProcesses[0], kPath, 1, seconds(4));
    }
    this->fleet.Run(milliseconds(50));
    this->fleet.Publish("3 /a/:1");
  }

  double PaceAt(const std::string& process, const std::string& endpoint) {
    for (const auto& candidate :
         this->fleet.Process(process).placer.Candidates()) {
      if (candidate.endpoint == endpoint) return candidate.pace;
    }
    return 0;
  }

  const runs::EndpointHealth& HealthOf(const std::string& endpoint) {
    for (const std::string& name : kProcesses) {
      const auto& sessions = this->fleet.Process(name).pool.Sessions();
      const auto found = sessions.find(endpoint);
      if (found != sessions.end()) return found->second->Health();
    }
    ADD_FAILURE() << endpoint << " is not held";
    static const runs::EndpointHealth none;
    return none;
  }

  HostedFleet fleet;
};

TEST_F(KindPlacementTest, LongTaskGoesToFastKindThatHasNotRunAnything) {
  this->Start();
  this->Learn();
  this->FillAll();
  this->Add("a-slow", kSlow, "slow");
  this->Add("b-fast", kFast, "fast");
  this->Add("c-slow", kSlow, "slow");
  this->fleet.Run(milliseconds(1'500));
  ASSERT_EQ(this->HealthOf("b-fast").PaceRuns(), 0);
  for (const std::string& process : kProcesses) {
    this->fleet.Submit(process, kPath, 1, milliseconds(900));
  }
  this->fleet.Run(milliseconds(20));
  EXPECT_EQ(this->fleet.endpoints.RunningAt("b-fast"), 2U);
  this->fleet.Run(seconds(10));
}

TEST_F(KindPlacementTest, RestartedEndpointStartsAtPaceOfItsNewKind) {
  this->fleet.entries_name_start = true;
  this->Start();
  this->Learn();
  ASSERT_GT(this->HealthOf("s0").Pace(), 1.5);
  ASSERT_GT(this->HealthOf("s0").PaceRuns(), 0);
  this->fleet.endpoints.SetPace("s0", kFast);
  this->fleet.SetLabels("s0", {"fast", "rack-s0"});
  this->fleet.RestartEndpoint("s0", LeasedEndpoints::CrashKind::kRefuses,
                              milliseconds(500));
  this->fleet.Run(seconds(4));
  EXPECT_EQ(this->HealthOf("s0").PaceRuns(), 0);
  EXPECT_NEAR(this->HealthOf("s0").Pace(), kFast, 0.05);
  for (const std::string& process : kProcesses) {
    EXPECT_NEAR(this->PaceAt(process, "s0"), kFast, 0.05) << process;
  }
}

TEST_F(KindPlacementTest, NewHolderStartsAtPaceOfKind) {
  this->Start();
  this->Learn();
  this->fleet.Kill("north1");
  this->fleet.Run(seconds(6));
  ASSERT_EQ(this->fleet.Process("north0").pool.Sessions().size(),
            2U * kEndpointsPerKind);
  for (int i = 0; i < kEndpointsPerKind; ++i) {
    EXPECT_NEAR(this->PaceAt("north0", "f" + std::to_string(i)), kFast, 0.1);
    EXPECT_NEAR(this->PaceAt("north0", "s" + std::to_string(i)), kSlow, 0.1);
  }
}

TEST_F(KindPlacementTest, StragglerOfFastKindIsNotTakenForFast) {
  this->Add("x", 3 * kFast, "fast");
  this->Start();
  this->Learn();
  for (const std::string& process : kProcesses) {
    EXPECT_GT(this->PaceAt(process, "x"), 2 * kFast) << process;
    EXPECT_NEAR(this->PaceAt(process, "f0"), kFast, 0.05) << process;
  }
}

// Labels alone must not change where tasks are started.
TEST_F(KindPlacementTest, KindsThatDoNotDifferChangeNoDecision) {
  std::map<std::string, std::vector<std::size_t>> running;
  for (const std::string kind : {"", "kind"}) {
    HostedFleet other;
    other.Publish("1 /a/:1");
    for (int i = 0; i < 2 * kEndpointsPerKind; ++i) {
      const std::string id = "e" + std::to_string(i);
      // Endpoints of one kind differ by 10%.
      other.AddEndpoint(id, "north", kCpuMilli, i % 4 < 2 ? 1 : 1.1);
      if (!kind.empty()) other.SetLabels(id, {kind + std::to_string(i % 2)});
    }
    for (const std::string& name : kProcesses) other.AddProcess(name, "north");
    other.Run(seconds(2));
    for (int job = 0; job < 200; ++job) {
      other.Submit(kProcesses[job % kProcesses.size()], kPath, 1 + job % 5,
                   milliseconds(60 + 7 * (job % 11)));
      other.Run(milliseconds(30));
      for (int i = 0; i < 2 * kEndpointsPerKind; ++i) {
        running[kind].push_back(
            other.endpoints.RunningAt("e" + std::to_string(i)));
      }
    }
  }
  EXPECT_EQ(running[""], running["kind"]);
}

}  // namespace
}  // namespace hawthornwheel::testing
