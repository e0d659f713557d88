#include <gtest/gtest.h>

#include <chrono>

#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Load pattern: the jobs of one process find no endpoint. Guards against other
// processes that regard the same endpoints as not needed.
TEST(TasksWaitTest, WaitingTasksOfOneProcessAreKnownToOthers) {
  HostedFleet fleet;
  fleet.Publish("1 /p/:0");
  fleet.AddEndpoint("e", "north");
  const HostedProcess& first = fleet.AddProcess("a", "north");
  const HostedProcess& second = fleet.AddProcess("b", "north");
  fleet.Run(seconds(3));
  EXPECT_FALSE(first.placer.TasksWait());
  EXPECT_FALSE(second.placer.TasksWait());
  fleet.Submit("a", "/p/", 3, milliseconds(900));
  fleet.Run(milliseconds(200));
  EXPECT_TRUE(first.placer.TasksWait());
  EXPECT_TRUE(second.placer.TasksWait());
  fleet.Run(seconds(4));
  EXPECT_FALSE(first.placer.TasksWait());
  EXPECT_FALSE(second.placer.TasksWait());
}

}  // namespace
}  // namespace hawthornwheel::testing
