// Load pattern: tasks need about half of an endpoint, so many endpoints have
// some free capacity that is too little for a large task. While one waits,
// smaller tasks arrive.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "support/scripted_jobs.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kLargeCpu = 36'000;
constexpr std::int64_t kSmallCpu = 20'000;
constexpr std::int64_t kLeftCpu = 24'000;

class ReserveTest : public ::testing::Test {
 protected:
  // Returns an endpoint with too little free capacity for a large task.
  jobs::Candidate Partial(std::string_view id, base::Duration left) const {
    jobs::Candidate candidate = this->jobs.Busy(id, 1, left);
    candidate.free = {kLeftCpu, 1'000'000, 0};
    return candidate;
  }

  void SubmitLarge(int tasks = 1) {
    this->jobs.Submit(milliseconds(800), tasks, kLargeCpu);
  }
  // Small tasks are placed after the large ones that wait.
  void SubmitSmall() {
    this->jobs.Submit(milliseconds(60), 1, kSmallCpu, "", 1);
  }

  ScriptedJobs jobs;
};

// A waiting task reserved every endpoint that it might use: of 358 jobs that
// were rejected with "no room in time", 140 had room.
TEST_F(ReserveTest, WaitingLargeTaskLeavesOtherEndpointsToLaterJobs) {
  this->jobs.Offer({this->Partial("e", milliseconds(300)),
                    this->Partial("f", milliseconds(20)),
                    this->Partial("g", milliseconds(200))});
  this->SubmitLarge();
  ASSERT_TRUE(this->jobs.placer.placed.empty());
  this->SubmitSmall();
  this->SubmitSmall();
  EXPECT_EQ(this->jobs.placer.placed.size(), 2U);
  EXPECT_EQ(this->jobs.placer.PlacementsAt("f"), 0);
}

// Guards against a large task that reserves an idle endpoint which can never
// hold it, and loses the next free place at a large one to smaller tasks.
TEST_F(ReserveTest, IdleEndpointThatIsTooSmallIsNotReserved) {
  jobs::Candidate small = this->Partial("small", milliseconds(0));
  small.next_free.reset();
  this->jobs.Offer({small, this->jobs.Busy("large", 1, milliseconds(600))});
  this->SubmitLarge();
  this->SubmitSmall();
  EXPECT_EQ(this->jobs.placer.PlacementsAt("small"), 1);
}

TEST_F(ReserveTest, SeveralWaitingTasksReserveDifferentEndpoints) {
  this->jobs.Offer({this->Partial("e", milliseconds(300)),
                    this->Partial("f", milliseconds(20)),
                    this->Partial("g", milliseconds(200))});
  this->SubmitLarge(2);
  this->SubmitSmall();
  this->SubmitSmall();
  EXPECT_EQ(this->jobs.placer.endpoints, (std::vector<std::string>{"e"}));
}

// Guards against a large task that never gets an endpoint, since smaller ones
// take the capacity as it becomes free.
TEST_F(ReserveTest, WaitingLargeTaskGetsTheEndpointThatItReserved) {
  this->jobs.Offer({this->Partial("e", milliseconds(300)),
                    this->Partial("f", milliseconds(20))});
  this->SubmitLarge();
  this->SubmitSmall();
  this->SubmitSmall();
  ASSERT_EQ(this->jobs.placer.endpoints, (std::vector<std::string>{"e"}));
  jobs::Candidate freed = this->Partial("f", milliseconds(200));
  freed.free.cpu_milli = kLargeCpu;
  this->jobs.Offer({this->Partial("e", milliseconds(280)), freed});
  EXPECT_EQ(this->jobs.placer.PlacementsAt("f"), 1);
}

// An endpoint with more of the capacity stays reserved although the next end
// elsewhere is nearer: that end alone does not make enough room there.
TEST_F(ReserveTest, ReserveStaysWhereMostOfTheCapacityIsFree) {
  jobs::Candidate nearly = this->Partial("nearly", milliseconds(100));
  nearly.free.cpu_milli = kLargeCpu - 1'000;
  jobs::Candidate little = this->Partial("little", milliseconds(10));
  little.free.cpu_milli = 2'000;
  this->jobs.Offer({nearly, little});
  this->SubmitLarge();
  this->SubmitSmall();
  EXPECT_TRUE(this->jobs.placer.placed.empty());
}

TEST_F(ReserveTest, NoJobIsRejectedWhileRoomIsFreeInTime) {
  this->jobs.Offer({this->Partial("e", milliseconds(700)),
                    this->Partial("f", milliseconds(900)),
                    this->Partial("g", milliseconds(800))});
  this->SubmitLarge();
  this->SubmitSmall();
  this->jobs.clock.Advance(milliseconds(100));
  EXPECT_TRUE(this->jobs.answers.empty());
  EXPECT_EQ(this->jobs.placer.placed.size(), 1U);
}

}  // namespace
}  // namespace hawthornwheel::testing
