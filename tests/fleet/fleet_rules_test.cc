// Tests the rules of membership, configuration and leaving endpoints on a
// manually advanced clock.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "base/logger.h"
#include "dispatch/dispatch_board.h"
#include "fleet/membership_controller.h"
#include "support/small_fleet.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FleetRulesTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::SetLogLevel(base::LogLevel::kError);
    for (int i = 1; i <= 6; ++i) {
      this->fleet.AddEndpoint(fmt::format("10.0.0.{}:80", i), "north");
    }
    this->fleet.AddEndpoint("10.0.1.1:80", "south");
    this->fleet.Publish();
  }

  void StartNorthProcesses() {
    for (const char* name : {"a", "b", "c"}) {
      this->fleet.AddProcess(name, "north");
    }
    this->fleet.Run(seconds(8));
  }

  std::size_t LiveIn(const std::string& process, const std::string& domain) {
    return this->fleet.Process(process)
        .dispatcher.GetMembership()
        .LiveIn(domain)
        .size();
  }

  int OwnersOf(const std::string& address) {
    int owners = 0;
    for (const auto& process : this->fleet.processes) {
      const auto& endpoints = process->dispatcher.GetDispatchBoard().endpoints;
      const auto found = endpoints.find(address);
      owners += found != endpoints.end() && found->second->owned ? 1 : 0;
    }
    return owners;
  }

  std::uint64_t GenerationOf(const std::string& process) {
    return this->fleet.Process(process)
        .dispatcher.GetFleetBoard()
        .config.Generation();
  }

  bool IsReady(const std::string& process) {
    return this->fleet.Process(process).dispatcher.Jobs().IsReady();
  }

  SmallFleet fleet;
};

TEST_F(FleetRulesTest, EachEndpointHasOneOwnerInItsDomain) {
  StartNorthProcesses();
  this->fleet.AddProcess("d", "south");
  this->fleet.Run(seconds(8));
  for (const auto& [address, endpoint] : this->fleet.endpoints.All()) {
    EXPECT_EQ(OwnersOf(address), 1) << address;
  }
}

TEST_F(FleetRulesTest, EndpointsOfDeadProcessAreReassigned) {
  StartNorthProcesses();
  this->fleet.Kill("b");
  this->fleet.Run(this->fleet.fleet_settings.heartbeat_timeout +
                  this->fleet.fleet_settings.heartbeat_interval);
  for (int i = 1; i <= 6; ++i) {
    EXPECT_EQ(OwnersOf(fmt::format("10.0.0.{}:80", i)), 1);
  }
}

TEST_F(FleetRulesTest, RestartedProcessReplacesIncarnationAtSameAddress) {
  StartNorthProcesses();
  this->fleet.Kill("b");
  this->fleet.AddProcess("b2", "north", "b:1");
  this->fleet.Run(seconds(2));
  const auto& members =
      this->fleet.Process("a").dispatcher.GetFleetBoard().members;
  EXPECT_TRUE(members.at("b").left);
  EXPECT_FALSE(members.at("b2").left);
  EXPECT_EQ(LiveIn("a", "north"), 3U);
}

TEST_F(FleetRulesTest, LaterProcessReplacesRunningOneAtSameAddress) {
  StartNorthProcesses();
  this->fleet.AddProcess("b2", "north", "b:1");
  this->fleet.Run(seconds(3));
  const auto& members =
      this->fleet.Process("a").dispatcher.GetFleetBoard().members;
  EXPECT_TRUE(members.at("b").left);
  EXPECT_EQ(LiveIn("a", "north"), 3U);
}

TEST_F(FleetRulesTest, OneWayPartitionAffectsOneDirectionOnly) {
  StartNorthProcesses();
  this->fleet.AddProcess("d", "south");
  this->fleet.Run(seconds(10));
  ASSERT_EQ(LiveIn("d", "north"), 3U);
  ASSERT_EQ(LiveIn("a", "south"), 1U);
  this->fleet.network.Partition("south", "north");
  this->fleet.Run(5 * this->fleet.fleet_settings.heartbeat_timeout);
  EXPECT_EQ(LiveIn("d", "north"), 3U);
  EXPECT_EQ(LiveIn("a", "south"), 0U);
  this->fleet.network.HealAll();
  this->fleet.Run(seconds(10));
  EXPECT_EQ(LiveIn("a", "south"), 1U);
}

TEST_F(FleetRulesTest, PartitionedDomainCompletesJobs) {
  StartNorthProcesses();
  this->fleet.AddProcess("d", "south");
  this->fleet.Run(seconds(5));
  this->fleet.network.Partition("south", "north");
  this->fleet.network.Partition("north", "south");
  this->fleet.platform.partitioned_domains.insert("south");
  this->fleet.Run(seconds(60));
  const auto answer = this->fleet.Submit("d", 3, milliseconds(50), seconds(2));
  this->fleet.Run(seconds(2));
  EXPECT_EQ(answer->state(), wire::COMPLETE);
}

TEST_F(FleetRulesTest, JobWithUnreachableHomeMayHaveRun) {
  StartNorthProcesses();
  this->fleet.AddProcess("d", "south");
  this->fleet.Run(seconds(5));
  const std::string key =
      this->fleet.Process("a").dispatcher.Jobs().CurrentPrefix() + "k";
  this->fleet.network.Partition("south", "north");
  const auto answer =
      this->fleet.Submit("d", 1, milliseconds(50), seconds(1), key);
  this->fleet.Run(seconds(10));
  EXPECT_EQ(answer->failure().kind(), "home_unreachable");
  EXPECT_EQ(answer->failure().execution(), wire::MAY_HAVE_RUN);
}

TEST_F(FleetRulesTest, NewProcessStartsFromPeerDuringLogOutage) {
  StartNorthProcesses();
  this->fleet.platform.down = true;
  this->fleet.fleet_settings.seeds = {"a:1"};
  this->fleet.AddProcess("late", "north");
  this->fleet.Run(seconds(2));
  EXPECT_FALSE(IsReady("late"));
  this->fleet.Run(seconds(6));
  EXPECT_TRUE(IsReady("late"));
  EXPECT_EQ(GenerationOf("late"), GenerationOf("a"));
  EXPECT_EQ(LiveIn("c", "north"), 4U);
}

TEST_F(FleetRulesTest, ProcessWithoutLogAndPeersIsNotReady) {
  this->fleet.platform.down = true;
  this->fleet.AddProcess("a", "north");
  this->fleet.Run(seconds(30));
  EXPECT_FALSE(IsReady("a"));
  const auto answer = this->fleet.Submit("a", 1, milliseconds(10), seconds(1));
  EXPECT_EQ(answer->failure().kind(), "not_ready");
  EXPECT_EQ(answer->failure().execution(), wire::NOT_RUN);
}

TEST_F(FleetRulesTest, CheckpointsPreserveConfigurationPastRetention) {
  this->fleet.platform.log.SetRetention(30'000);
  StartNorthProcesses();
  const std::uint64_t generation = GenerationOf("a");
  this->fleet.Run(seconds(200));
  EXPECT_GT(this->fleet.platform.log.Read(0, 1).earliest(), 0U);
  // One process, rarely two, writes a checkpoint in each third of the retention
  // time, i.e. 20 times in 200 s.
  std::uint64_t appends = 0;
  for (const auto& process : this->fleet.processes) {
    appends += process->metrics.Counter("platform.log_appends");
  }
  EXPECT_LE(appends, 3U + 2U * 20U);
  // Without live peers, only the log can provide the configuration.
  for (const char* name : {"a", "b", "c"}) this->fleet.Kill(name);
  this->fleet.AddProcess("late", "north");
  this->fleet.Run(seconds(3));
  EXPECT_TRUE(IsReady("late"));
  EXPECT_EQ(GenerationOf("late"), generation);
}

TEST_F(FleetRulesTest, OutageLongerThanRetentionDoesNotRevertConfiguration) {
  this->fleet.platform.log.SetRetention(30'000);
  StartNorthProcesses();
  this->fleet.Publish("[timeouts]\nlease = 2s\n");
  this->fleet.Run(seconds(2));
  const std::uint64_t generation = GenerationOf("a");
  this->fleet.platform.down = true;
  this->fleet.Run(seconds(100));
  this->fleet.platform.log.Expire(this->fleet.clock.WallMilliseconds());
  this->fleet.platform.down = false;
  this->fleet.Run(seconds(30));
  EXPECT_EQ(GenerationOf("a"), generation);
  this->fleet.AddProcess("late", "north");
  this->fleet.Run(seconds(15));
  EXPECT_EQ(GenerationOf("late"), generation);
  EXPECT_TRUE(IsReady("late"));
}

TEST_F(FleetRulesTest, ResumedOwnerDoesNotExceedSlots) {
  StartNorthProcesses();
  for (int i = 0; i < 150; ++i) {
    this->fleet.Submit("a", 8, milliseconds(700), seconds(200));
    this->fleet.Submit("b", 8, milliseconds(700), seconds(200));
  }
  this->fleet.Run(milliseconds(300));
  this->fleet.Process("b").clock.Pause();
  this->fleet.Run(seconds(12));
  this->fleet.Process("b").clock.Resume();
  this->fleet.Run(seconds(60));
  for (const auto& [address, endpoint] : this->fleet.endpoints.All()) {
    EXPECT_LE(endpoint.max_running, 8U) << address;
  }
}

TEST_F(FleetRulesTest, StartingProcessDoesNotExceedSlots) {
  StartNorthProcesses();
  for (int i = 0; i < 30; ++i) {
    this->fleet.Submit("a", 8, milliseconds(700), seconds(60));
  }
  this->fleet.Run(milliseconds(300));
  this->fleet.AddProcess("late", "north");
  for (int i = 0; i < 30; ++i) {
    this->fleet.Run(milliseconds(100));
    this->fleet.Submit("late", 8, milliseconds(700), seconds(60));
  }
  this->fleet.Run(seconds(20));
  for (const auto& [address, endpoint] : this->fleet.endpoints.All()) {
    EXPECT_LE(endpoint.max_running, 8U) << address;
  }
}

TEST_F(FleetRulesTest, SlotsOfDeadLenderAreNotExceeded) {
  StartNorthProcesses();
  for (int i = 0; i < 60; ++i) {
    this->fleet.Submit("a", 8, milliseconds(900), seconds(100));
    this->fleet.Submit("c", 8, milliseconds(900), seconds(100));
    this->fleet.Run(milliseconds(10));
  }
  this->fleet.Run(seconds(2));
  ASSERT_GT(this->fleet.Process("c").metrics.Counter("loans.taken"), 0U);
  this->fleet.Kill("b");
  this->fleet.Run(seconds(40));
  for (const auto& [address, endpoint] : this->fleet.endpoints.All()) {
    EXPECT_LE(endpoint.max_running, 8U) << address;
  }
}

enum class LeavingNotice { kVmList, kServiceFile, kOwnRefusal };

struct LeavingCase {
  const char* name;
  LeavingNotice notice;
  /// Whether only one process of the failure domain can read the VM list.
  bool visible_to_one_process;
};

class LeavingTest : public FleetRulesTest,
                    public ::testing::WithParamInterface<LeavingCase> {};

TEST_P(LeavingTest, EndpointGetsNoStartsAfterThreeSeconds) {
  const LeavingCase& row = GetParam();
  StartNorthProcesses();
  const std::string leaving = "10.0.0.3:80";
  const auto load = [this](base::Duration span) {
    for (base::Duration t{0}; t < span; t += milliseconds(20)) {
      for (const auto& process : this->fleet.processes) {
        this->fleet.Submit(process->incarnation, 4, milliseconds(100),
                           seconds(5));
      }
      this->fleet.Run(milliseconds(20));
    }
  };
  load(seconds(2));
  ASSERT_GT(this->fleet.endpoints.At(leaving).starts, 0U);
  if (row.visible_to_one_process) {
    for (const char* name : {"b", "c"}) {
      this->fleet.Process(name).platform.SetVmListReachable(false);
    }
  }
  switch (row.notice) {
    case LeavingNotice::kVmList: {
      wire::Vm* vm = this->fleet.platform.vms.add_vms();
      vm->set_address("10.0.0.3");
      vm->set_state(wire::VM_LEAVING);
      this->fleet.platform.vms.set_version(2);
      break;
    }
    case LeavingNotice::kServiceFile:
      this->fleet.RemoveEndpoint(leaving + "@north");
      this->fleet.Publish();
      break;
    case LeavingNotice::kOwnRefusal:
      this->fleet.endpoints.At(leaving).mode = EndpointMode::kLeaving;
      break;
  }
  load(seconds(3));
  const std::uint64_t starts_before = this->fleet.endpoints.At(leaving).starts;
  load(seconds(5));
  EXPECT_EQ(this->fleet.endpoints.At(leaving).starts, starts_before);
}

INSTANTIATE_TEST_SUITE_P(
    Notices, LeavingTest,
    ::testing::Values(
        LeavingCase{"VmList", LeavingNotice::kVmList, false},
        LeavingCase{"VmListSeenByOne", LeavingNotice::kVmList, true},
        LeavingCase{"ServiceFile", LeavingNotice::kServiceFile, false},
        LeavingCase{"OwnRefusal", LeavingNotice::kOwnRefusal, false}),
    [](const auto& info) { return info.param.name; });

TEST_F(FleetRulesTest, LeavingEndpointCompletesRunningTasks) {
  StartNorthProcesses();
  const auto answer =
      this->fleet.Submit("a", 30, milliseconds(2500), seconds(20));
  this->fleet.Run(milliseconds(100));
  for (int i = 1; i <= 6; ++i) {
    wire::Vm* vm = this->fleet.platform.vms.add_vms();
    vm->set_address(fmt::format("10.0.0.{}", i));
    vm->set_state(i < 4 ? wire::VM_LEAVING : wire::VM_LIVE);
  }
  this->fleet.platform.vms.set_version(2);
  this->fleet.Run(seconds(19));
  EXPECT_EQ(answer->state(), wire::COMPLETE);
}

}  // namespace
}  // namespace hawthornwheel::testing
