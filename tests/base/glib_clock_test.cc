#include "base/glib_clock.h"

#include <glib-unix.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "support/loop.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;

class GlibClockTest : public ::testing::Test {
 protected:
  GlibClockTest() {
    EXPECT_EQ(pipe(this->pipe_ends.data()), 0);
    this->source_id = g_unix_fd_add(this->pipe_ends[0], G_IO_IN, OnInput, this);
  }
  ~GlibClockTest() override {
    g_source_remove(this->source_id);
    close(this->pipe_ends[0]);
    close(this->pipe_ends[1]);
  }

  static gboolean OnInput(gint descriptor, GIOCondition, gpointer data) {
    char byte = 0;
    EXPECT_EQ(read(descriptor, &byte, 1), 1);
    static_cast<GlibClockTest*>(data)->events.emplace_back("input");
    return G_SOURCE_CONTINUE;
  }

  void Arrive() { EXPECT_EQ(write(this->pipe_ends[1], "x", 1), 1); }

  std::array<int, 2> pipe_ends{};
  guint source_id = 0;
  std::vector<std::string> events;
  base::GlibClock clock;
};

// Guards against a process that acts, after a pause, on a permission that ran
// out meanwhile: its timers ran before it read what had arrived.
TEST_F(GlibClockTest, InputIsReadBeforeTimersRunAfterPause) {
  base::Timer timer(this->clock);
  timer.StartOnce(milliseconds(10),
                  [this] { this->events.emplace_back("timer"); });
  this->Arrive();
  this->Arrive();
  usleep(600'000);
  ASSERT_TRUE(RunLoopUntil([this] { return this->events.size() == 3; }));
  EXPECT_EQ(this->events,
            (std::vector<std::string>{"input", "input", "timer"}));
}

TEST_F(GlibClockTest, TimersRunDespiteContinuousInputAfterPause) {
  base::Timer timer(this->clock);
  bool fired = false;
  timer.StartOnce(milliseconds(10), [&fired] { fired = true; });
  for (int i = 0; i < 100; ++i) this->Arrive();
  usleep(600'000);
  ASSERT_TRUE(RunLoopUntil([&fired] { return fired; }));
  EXPECT_LT(this->events.size(), 10U);
}

TEST_F(GlibClockTest, TimerStartedByDueTimerRunsInSameDispatch) {
  base::Timer first(this->clock);
  base::Timer second(this->clock);
  first.StartOnce(base::Duration{0}, [this, &second] {
    this->events.emplace_back("first");
    second.StartOnce(base::Duration{0},
                     [this] { this->events.emplace_back("second"); });
    this->Arrive();
  });
  ASSERT_TRUE(RunLoopUntil([this] { return this->events.size() == 3; }));
  EXPECT_EQ(this->events,
            (std::vector<std::string>{"first", "second", "input"}));
}

// A timer that starts itself again without a delay must not block the loop.
TEST_F(GlibClockTest, TimersWithoutDelayDoNotBlockInput) {
  base::Timer timer(this->clock);
  int runs = 0;
  std::function<void()> again = [&] {
    ++runs;
    timer.StartOnce(base::Duration{0}, again);
  };
  again();
  this->Arrive();
  ASSERT_TRUE(RunLoopUntil([this] { return !this->events.empty(); }));
  EXPECT_LT(runs, 100);
}

}  // namespace
}  // namespace hawthornwheel::testing
