// Rules of following the log across lost records.

#include "fleet/log_follower.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/logger.h"
#include "standins/memory_log.h"

namespace hawthornwheel::testing {
namespace {

using fleet::ConfigFold;
using fleet::LogFollower;

class LogFollowerTest : public ::testing::Test {
 protected:
  void SetUp() override { base::SetLogLevel(base::LogLevel::kError); }

  // Appends a change of service "s" to `slots` slots.
  void Change(int slots) {
    wire::LogRecord record;
    record.set_id(fmt::format("change-{}", slots));
    wire::ServiceChange* change = record.mutable_change()->add_changes();
    change->set_service("s");
    change->set_base_generation(this->generation);
    change->set_content(
        fmt::format("[service]\nname = s\nteam = t\n[endpoints]\n"
                    "addresses = 10.0.0.1:80@north\nslots = {}\n",
                    slots));
    this->generation = 1 + this->Append(record);
  }

  std::uint64_t Append(const wire::LogRecord& record) {
    const std::uint64_t offset =
        this->log.Append(record.SerializeAsString(), 0);
    this->whole.Apply(offset, record);
    return offset;
  }

  // Appends one part of a checkpoint of all that was appended so far.
  void Checkpoint(std::uint32_t part = 0, std::uint32_t parts = 1) {
    wire::LogRecord record;
    wire::ConfigCheckpoint* checkpoint = record.mutable_checkpoint();
    checkpoint->set_as_of_offset(this->whole.NextOffset());
    checkpoint->set_part(part);
    checkpoint->set_parts(parts);
    if (part == 0) {
      for (const auto& service : this->whole.Snapshot()) {
        *checkpoint->add_services() = service;
      }
    }
    this->Append(record);
  }

  LogFollower::Progress Follow() {
    while (true) {
      const auto progress = this->follower.OnBatch(
          this->log.Read(this->follower.ReadOffset(), 2));
      if (progress != LogFollower::Progress::kMore) return progress;
    }
  }

  std::uint32_t Slots() const {
    const auto config = this->fold.Find("s");
    return config == nullptr ? 0 : config->slots;
  }

  standins::MemoryLog log;
  ConfigFold whole;
  ConfigFold fold;
  LogFollower follower{this->fold};
  std::uint64_t generation = 0;
};

TEST_F(LogFollowerTest, FoldsFromTheStart) {
  this->Change(1);
  this->Change(2);
  this->Change(3);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kCaughtUp);
  EXPECT_EQ(this->Slots(), 3U);
}

TEST_F(LogFollowerTest, GoesOnFromACheckpoint) {
  this->Change(1);
  this->Change(2);
  this->Checkpoint();
  this->Change(3);
  this->log.DropBelow(2);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kCaughtUp);
  EXPECT_EQ(this->Slots(), 3U);
}

TEST_F(LogFollowerTest, ACheckpointWithLostRecordsAfterItIsOfNoUse) {
  this->Change(1);
  this->Change(2);
  // Written late: a change stands between what it covers and itself.
  wire::LogRecord late;
  late.mutable_checkpoint()->set_as_of_offset(this->whole.NextOffset());
  late.mutable_checkpoint()->set_parts(1);
  for (const auto& service : this->whole.Snapshot()) {
    *late.mutable_checkpoint()->add_services() = service;
  }
  this->Change(3);
  this->Append(late);
  this->log.DropBelow(3);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kLost);
  EXPECT_EQ(this->Slots(), 0U);
}

TEST_F(LogFollowerTest, HalfACheckpointIsOfNoUse) {
  this->Change(1);
  this->Checkpoint(0, 2);
  this->log.DropBelow(1);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kLost);
}

TEST_F(LogFollowerTest, APeersStateOlderThanTheFirstRecordKeptIsNotTaken) {
  this->Change(1);
  const auto old_state = this->whole.Snapshot();
  const std::uint64_t old_offset = this->whole.NextOffset();
  this->Change(2);
  this->Change(3);
  this->log.DropBelow(2);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kLost);
  EXPECT_FALSE(this->follower.Adopt(old_offset, old_state));
  EXPECT_TRUE(
      this->follower.Adopt(this->whole.NextOffset(), this->whole.Snapshot()));
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kCaughtUp);
  EXPECT_EQ(this->Slots(), 3U);
}

TEST_F(LogFollowerTest, NothingOlderIsTaken) {
  this->Change(1);
  const auto old_state = this->whole.Snapshot();
  this->Change(2);
  this->Follow();
  EXPECT_FALSE(this->follower.Adopt(1, old_state));
  EXPECT_EQ(this->Slots(), 2U);
}

TEST_F(LogFollowerTest, ARecordThatCannotBeReadIsSkipped) {
  this->Change(1);
  this->log.Append("\xff\xff\xff", 0);
  this->Change(2);
  // The fold of the whole log does not see the bad record.
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kCaughtUp);
  EXPECT_EQ(this->follower.UnreadableRecords(), 1U);
  EXPECT_EQ(this->Slots(), 2U);
}

}  // namespace
}  // namespace hawthornwheel::testing
