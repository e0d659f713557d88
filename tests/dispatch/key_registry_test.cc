#include "dispatch/key_registry.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>

#include "support/manual_clock.h"

namespace hawthornwheel::dispatch {
namespace {

using std::chrono::seconds;

class KeyRegistryTest : public ::testing::Test {
 protected:
  SubmissionKey Key(const std::string& part) {
    return *SubmissionKey::Parse(
        fmt::format("{}{}", this->registry.CurrentPrefix(), part));
  }

  testing::ManualClock clock;
  KeyRegistry registry{this->clock, "home", seconds(10), 2, 1000};
};

TEST_F(KeyRegistryTest, KeyIsFreshUntilRemembered) {
  const SubmissionKey key = Key("a");
  EXPECT_EQ(this->registry.Check(key), KeyStatus::kFresh);
  this->registry.Remember(key, {7, 1});
  EXPECT_EQ(this->registry.Check(key), KeyStatus::kKnown);
  EXPECT_EQ(this->registry.Find(key)->job, 7U);
}

TEST_F(KeyRegistryTest, KeysExpireAfterRememberedEpochs) {
  const SubmissionKey key = Key("a");
  this->registry.Remember(key, {7, 1});
  this->clock.Advance(seconds(29));
  EXPECT_EQ(this->registry.Check(key), KeyStatus::kKnown);
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->registry.Check(key), KeyStatus::kExpired);
  EXPECT_EQ(this->registry.Size(), 0U);
}

TEST_F(KeyRegistryTest, SealedKeyIsReportedWithItsReason) {
  const SubmissionKey key = Key("a");
  this->registry.Seal(key, base::ErrorKind::kQueueFull);
  EXPECT_EQ(this->registry.Check(key), KeyStatus::kSealed);
  EXPECT_EQ(this->registry.SealReason(key), base::ErrorKind::kQueueFull);
}

TEST_F(KeyRegistryTest, KeysOfOtherHomesAndFutureEpochsAreForeign) {
  EXPECT_EQ(this->registry.Check({"other", 1, "a"}), KeyStatus::kForeign);
  EXPECT_EQ(this->registry.Check({"home", 2, "a"}), KeyStatus::kForeign);
  EXPECT_EQ(this->registry.Check({"home", 0, "a"}), KeyStatus::kExpired);
}

TEST_F(KeyRegistryTest, KeyLimitExpiresOldestEpoch) {
  const SubmissionKey old_key = Key("old");
  this->registry.Remember(old_key, {1, 1});
  this->clock.Advance(seconds(10));
  for (int i = 0; i < 1000; ++i) {
    this->registry.Seal(Key(fmt::format("k{}", i)),
                        base::ErrorKind::kQueueFull);
  }
  EXPECT_EQ(this->registry.Check(old_key), KeyStatus::kExpired);
  EXPECT_LE(this->registry.Size(), 1000U);
}

TEST(SubmissionKeyTest, ParsesOnlyValidKeys) {
  for (const char* text : {"", "a", "a/1", "a/x/b", "/1/b", "a/1/", "a/1/b/c",
                           "a/-1/b", "a b/1/c", "a/1/b c"}) {
    EXPECT_FALSE(SubmissionKey::Parse(text)) << text;
  }
  EXPECT_EQ(SubmissionKey::Parse("a-1/2/b.c_d")->Format(), "a-1/2/b.c_d");
}

}  // namespace
}  // namespace hawthornwheel::dispatch
