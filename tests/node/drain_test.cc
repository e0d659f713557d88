// Checks when a stopping process rejects jobs, interrupts them and ends.

#include "node/drain.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

#include "node/drainable.h"
#include "support/manual_clock.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kDrainTime = seconds(6);

// Work whose state the test sets. Interrupted jobs end at once; the answers
// stay unwritten if `answers_are_slow` is set.
class ScriptedWork final : public node::Drainable {
 public:
  std::size_t OpenJobs() const override { return this->jobs; }
  bool HostsTasks() const override { return this->hosts_tasks; }
  bool HasOpenRequests() const override { return this->open_requests; }
  void EndNewJobsBy(base::TimePoint time) override {
    this->new_jobs_end = time;
  }
  void RejectNewJobs() override { this->rejects = true; }
  void InterruptJobs() override {
    ++this->interrupts;
    this->jobs = 0;
    this->open_requests = this->answers_are_slow;
  }
  void Disconnect() override { this->connected = false; }

  std::size_t jobs = 0;
  bool hosts_tasks = false;
  bool open_requests = false;
  bool answers_are_slow = false;
  std::optional<base::TimePoint> new_jobs_end;
  bool rejects = false;
  int interrupts = 0;
  bool connected = true;
};

class DrainTest : public ::testing::Test {
 protected:
  DrainTest()
      : drain(this->clock, this->work, kDrainTime, [this] {
          this->stopped = true;
          this->connected_at_stop = this->work.connected;
        }) {}

  // Advances in steps that are shorter than the check interval.
  void AdvanceInSteps(base::Duration span) {
    const base::TimePoint end = this->clock.Now() + span;
    while (this->clock.Now() < end && !this->stopped)
      this->clock.Advance(milliseconds(10));
  }

  // Runs the next check `span` after the latest one.
  void CheckLate(base::Duration span) {
    this->clock.Stall(span);
    this->clock.Advance(base::Duration{0});
  }

  ManualClock clock;
  ScriptedWork work;
  bool stopped = false;
  bool connected_at_stop = false;
  node::Drain drain;
};

TEST_F(DrainTest, IdleProcessStopsAfterCallersHaveNoticed) {
  this->drain.Begin(this->clock.Now());
  this->AdvanceInSteps(milliseconds(2'400));
  EXPECT_FALSE(this->stopped);
  this->AdvanceInSteps(milliseconds(200));
  EXPECT_TRUE(this->stopped);
  EXPECT_EQ(this->work.interrupts, 0);
}

TEST_F(DrainTest, OpenWorkKeepsProcess) {
  this->work.jobs = 1;
  this->drain.Begin(this->clock.Now());
  this->AdvanceInSteps(seconds(3));
  this->work.jobs = 0;
  this->work.hosts_tasks = true;
  this->AdvanceInSteps(milliseconds(500));
  this->work.hosts_tasks = false;
  this->work.open_requests = true;
  this->AdvanceInSteps(milliseconds(500));
  EXPECT_FALSE(this->stopped);
  this->work.open_requests = false;
  this->AdvanceInSteps(milliseconds(200));
  EXPECT_TRUE(this->stopped);
  EXPECT_EQ(this->work.interrupts, 0);
}

TEST_F(DrainTest, NewJobsAreLimitedAndThenRejected) {
  this->work.jobs = 1;
  const base::TimePoint start = this->clock.Now();
  this->drain.Begin(start);
  EXPECT_EQ(this->work.new_jobs_end, start + milliseconds(5'400));
  this->AdvanceInSteps(seconds(4));
  EXPECT_FALSE(this->work.rejects);
  this->AdvanceInSteps(milliseconds(200));
  EXPECT_TRUE(this->work.rejects);
}

TEST_F(DrainTest, JobsThatAreOpenNearTheEndAreInterrupted) {
  this->work.jobs = 1;
  this->drain.Begin(this->clock.Now());
  this->AdvanceInSteps(milliseconds(5'300));
  EXPECT_EQ(this->work.interrupts, 0);
  this->AdvanceInSteps(milliseconds(110));
  EXPECT_EQ(this->work.interrupts, 1);
  EXPECT_FALSE(this->stopped);
  this->AdvanceInSteps(milliseconds(110));
  EXPECT_TRUE(this->stopped);
}

// Guards against requests without an answer when a process is told to stop
// twice (issue 49).
TEST_F(DrainTest, SecondStopAnswersOpenJobsFirst) {
  this->work.jobs = 1;
  this->work.answers_are_slow = true;
  this->drain.Begin(this->clock.Now());
  this->AdvanceInSteps(milliseconds(500));
  this->drain.Hasten();
  EXPECT_TRUE(this->work.rejects);
  EXPECT_EQ(this->work.interrupts, 1);
  this->AdvanceInSteps(milliseconds(300));
  EXPECT_FALSE(this->stopped);
  this->work.open_requests = false;
  this->AdvanceInSteps(milliseconds(110));
  EXPECT_TRUE(this->stopped);
}

// Guards against a process that is killed with open requests because it has
// noticed the signal late (issue 49).
TEST_F(DrainTest, TimeCountsFromTheRequest) {
  this->work.jobs = 1;
  const base::TimePoint requested_at = this->clock.Now() - milliseconds(1'300);
  this->drain.Begin(requested_at);
  EXPECT_EQ(this->work.new_jobs_end, requested_at + milliseconds(5'400));
  this->AdvanceInSteps(milliseconds(4'000));
  EXPECT_EQ(this->work.interrupts, 0);
  this->AdvanceInSteps(milliseconds(210));
  EXPECT_EQ(this->work.interrupts, 1);
}

// Guards against a process that is late and is killed before it has answered
// the jobs that it interrupts (issue 49).
TEST_F(DrainTest, LateProcessInterruptsEarlier) {
  this->work.jobs = 1;
  this->drain.Begin(this->clock.Now());
  // Each check is 200 ms late.
  for (int i = 0; i < 16; ++i) this->CheckLate(milliseconds(300));
  EXPECT_EQ(this->work.interrupts, 0);
  EXPECT_EQ(this->work.new_jobs_end,
            this->clock.Now() + milliseconds(1'200 - 1'000));
  this->CheckLate(milliseconds(300));
  EXPECT_EQ(this->work.interrupts, 1);
}

// A pause that is over does not take time from open jobs.
TEST_F(DrainTest, PauseDoesNotInterruptJobs) {
  this->work.jobs = 1;
  this->drain.Begin(this->clock.Now());
  this->CheckLate(milliseconds(2'000));
  this->AdvanceInSteps(milliseconds(3'200));
  EXPECT_EQ(this->work.interrupts, 0);
  this->AdvanceInSteps(milliseconds(300));
  EXPECT_EQ(this->work.interrupts, 1);
}

// Guards against answers that a process with little processor time has not
// written when it ends (issue 49).
TEST_F(DrainTest, AnswersOfInterruptedJobsAreWrittenBeforeTheEnd) {
  this->work.jobs = 1;
  this->work.answers_are_slow = true;
  this->drain.Begin(this->clock.Now());
  this->AdvanceInSteps(milliseconds(5'590));
  EXPECT_EQ(this->work.interrupts, 1);
  EXPECT_FALSE(this->stopped);
  this->work.open_requests = false;
  this->AdvanceInSteps(milliseconds(110));
  EXPECT_TRUE(this->stopped);
}

TEST_F(DrainTest, ProcessEndsInTimeWithOpenRequests) {
  this->work.jobs = 1;
  this->work.answers_are_slow = true;
  this->drain.Begin(this->clock.Now());
  this->AdvanceInSteps(kDrainTime - milliseconds(10));
  EXPECT_TRUE(this->stopped);
}

// Guards against requests that are read after the process has decided to stop.
TEST_F(DrainTest, CallersAreDisconnectedBeforeTheEnd) {
  this->drain.Begin(this->clock.Now());
  this->AdvanceInSteps(milliseconds(2'600));
  ASSERT_TRUE(this->stopped);
  EXPECT_FALSE(this->connected_at_stop);
}

TEST_F(DrainTest, ChangedTimeAppliesToDrainThatHasBegun) {
  this->work.jobs = 1;
  this->drain.Begin(this->clock.Now());
  this->AdvanceInSteps(seconds(3));
  this->drain.SetTime(seconds(4));
  this->AdvanceInSteps(milliseconds(500));
  EXPECT_EQ(this->work.interrupts, 1);
}

}  // namespace
}  // namespace hawthornwheel::testing
