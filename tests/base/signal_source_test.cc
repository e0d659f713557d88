// Checks the times at which signals arrive at a process whose loop is late.

#include "base/signal_source.h"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <thread>
#include <vector>

#include "base/glib_clock.h"
#include "support/loop.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;

TEST(SignalSourceTest, ArrivalTimeDoesNotDependOnTheLoop) {
  const base::GlibClock clock;
  std::vector<base::TimePoint> arrivals;
  const base::SignalSource source(
      SIGUSR2, [&arrivals](base::TimePoint at) { arrivals.push_back(at); });
  const base::TimePoint before = clock.Now();
  std::raise(SIGUSR2);
  const base::TimePoint after = clock.Now();
  std::this_thread::sleep_for(milliseconds(100));
  std::raise(SIGUSR2);
  EXPECT_TRUE(arrivals.empty());
  ASSERT_TRUE(RunLoopUntil([&arrivals] { return arrivals.size() == 2; }));
  EXPECT_GE(arrivals[0], before);
  EXPECT_LE(arrivals[0], after);
  EXPECT_GE(arrivals[1] - arrivals[0], milliseconds(100));
}

}  // namespace
}  // namespace hawthornwheel::testing
