#include "jobs/retry_advisor.h"

#include <gtest/gtest.h>

#include <chrono>
#include <set>

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TimePoint kStart{base::Duration{1'000'000}};

TEST(RetryAdvisorTest, MoreRejectionsIncreaseTheWait) {
  RetryAdvisor lightly_loaded;
  RetryAdvisor overloaded;
  for (int i = 0; i < 100; ++i) lightly_loaded.RecordServed(kStart);
  lightly_loaded.RecordRejected(kStart);
  for (int i = 0; i < 20; ++i) overloaded.RecordServed(kStart);
  for (int i = 0; i < 100; ++i) overloaded.RecordRejected(kStart);
  EXPECT_LT(lightly_loaded.Advise(kStart, "a") + seconds(2),
            overloaded.Advise(kStart, "a"));
}

TEST(RetryAdvisorTest, WaitIsBoundedAndDecaysAfterOverload) {
  RetryAdvisor advisor;
  for (int i = 0; i < 10'000; ++i) advisor.RecordRejected(kStart);
  EXPECT_LE(advisor.Advise(kStart, "a"), seconds(16));
  EXPECT_LE(advisor.Advise(kStart + seconds(60), "a"), seconds(2));
}

TEST(RetryAdvisorTest, CallersGetDifferentWaits) {
  RetryAdvisor advisor;
  std::set<base::Duration> waits;
  for (int i = 0; i < 100; ++i) {
    waits.insert(advisor.Advise(kStart, std::to_string(i)));
  }
  EXPECT_GT(waits.size(), 50U);
}

}  // namespace
}  // namespace hawthornwheel::jobs
