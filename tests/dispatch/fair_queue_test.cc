#include "dispatch/fair_queue.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace hawthornwheel::dispatch {
namespace {

using fleet::Urgency;

// Serves a queue and measures the share of each job. All jobs except those in
// `empty_jobs` always have tasks to start.
class FairQueueTest : public ::testing::Test {
 protected:
  void Add(const std::string& organisation, const std::string& service,
           Urgency urgency) {
    const JobId id = ++this->last_id;
    this->paths[id] = {organisation, service, urgency};
    this->queue.PushBack(this->paths[id], id);
  }

  // Serves `rounds` tasks of equal cost and returns the share of each job, from
  // 0 to 1.
  std::map<JobId, double> Serve(int rounds) {
    std::map<JobId, double> shares;
    for (int i = 0; i < rounds; ++i) {
      const JobId id = this->queue.Next(
          [this](const std::string& service) {
            return !this->blocked.contains(service);
          },
          [this](JobId job) { return !this->empty_jobs.contains(job); });
      if (id == 0) break;
      shares[id] += 1.0 / rounds;
      this->queue.Charge(this->paths[id], 1000);
    }
    return shares;
  }

  FairQueue queue;
  std::map<JobId, FairQueue::Path> paths;
  std::set<std::string> blocked;
  std::set<JobId> empty_jobs;
  JobId last_id = 0;
};

TEST_F(FairQueueTest, OrganisationsShareByWeight) {
  this->Add("a", "s1", Urgency::kNormal);
  this->Add("b", "s2", Urgency::kUrgent);
  this->queue.SetWeights({"a", "s1"}, 3, 1);
  auto shares = this->Serve(4000);
  EXPECT_NEAR(shares[1], 0.75, 0.01);
  EXPECT_NEAR(shares[2], 0.25, 0.01);
}

TEST_F(FairQueueTest, MoreServicesDoNotRaiseShareOfOrganisation) {
  this->Add("a", "s1", Urgency::kNormal);
  for (int i = 0; i < 9; ++i) {
    this->Add("b", fmt::format("f{}", i), Urgency::kUrgent);
  }
  EXPECT_NEAR(this->Serve(4000)[1], 0.5, 0.01);
}

TEST_F(FairQueueTest, UrgencyClassesShareByWeight) {
  this->Add("a", "s", Urgency::kUrgent);
  this->Add("a", "s", Urgency::kNormal);
  this->Add("a", "s", Urgency::kBulk);
  auto shares = this->Serve(4200);
  EXPECT_NEAR(shares[1], 16.0 / 21, 0.01);
  EXPECT_NEAR(shares[2], 4.0 / 21, 0.01);
  EXPECT_NEAR(shares[3], 1.0 / 21, 0.01);
}

TEST_F(FairQueueTest, IdleOrganisationGetsNoCreditForIdleTime) {
  this->Add("a", "s1", Urgency::kNormal);
  this->Serve(100'000);
  this->Add("b", "s2", Urgency::kNormal);
  EXPECT_NEAR(this->Serve(1000)[2], 0.5, 0.01);
}

TEST_F(FairQueueTest, BlockedServiceDoesNotBlockOthers) {
  this->Add("a", "s1", Urgency::kUrgent);
  this->Add("b", "s2", Urgency::kBulk);
  this->blocked = {"s1"};
  EXPECT_DOUBLE_EQ(this->Serve(10)[2], 1.0);
}

TEST_F(FairQueueTest, JobsWithoutQueuedTasksAreDropped) {
  for (int i = 0; i < 1000; ++i) this->Add("a", "s", Urgency::kNormal);
  for (JobId id = 1; id < 1000; ++id) this->empty_jobs.insert(id);
  EXPECT_EQ(this->Serve(1).begin()->first, 1000U);
  EXPECT_EQ(this->queue.Size(), 1U);
}

}  // namespace
}  // namespace hawthornwheel::dispatch
