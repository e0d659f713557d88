// Tests how the follower builds the configuration, also after log records were
// lost.

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

  // Appends a change that sets service "s" to `slots` slots.
  void AppendChange(int slots) {
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
    this->complete_fold.Apply(offset, record);
    return offset;
  }

  // Appends one part of a checkpoint of all records appended so far. Part 0
  // holds all services, the other parts are empty.
  void AppendCheckpoint(std::uint32_t part = 0, std::uint32_t parts = 1) {
    wire::LogRecord record;
    wire::ConfigCheckpoint* checkpoint = record.mutable_checkpoint();
    checkpoint->set_as_of_offset(this->complete_fold.NextOffset());
    checkpoint->set_part(part);
    checkpoint->set_parts(parts);
    if (part == 0) {
      for (const auto& service : this->complete_fold.Snapshot()) {
        *checkpoint->add_services() = service;
      }
    }
    this->Append(record);
  }

  LogFollower::Progress Follow() {
    while (true) {
      const auto progress = this->follower.OnBatch(
          this->log.Read(this->follower.ReadOffset(), 2));
      if (progress != LogFollower::Progress::kReadMore) return progress;
    }
  }

  std::uint32_t Slots() const {
    const auto config = this->fold.Find("s");
    return config == nullptr ? 0 : config->slots;
  }

  standins::MemoryLog log;
  ConfigFold complete_fold;
  ConfigFold fold;
  LogFollower follower{this->fold};
  std::uint64_t generation = 0;
};

TEST_F(LogFollowerTest, FoldsFromFirstRecord) {
  this->AppendChange(1);
  this->AppendChange(2);
  this->AppendChange(3);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kCaughtUp);
  EXPECT_EQ(this->Slots(), 3U);
}

TEST_F(LogFollowerTest, ResumesFromCheckpoint) {
  this->AppendChange(1);
  this->AppendChange(2);
  this->AppendCheckpoint();
  this->AppendChange(3);
  this->log.DropBelow(2);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kCaughtUp);
  EXPECT_EQ(this->Slots(), 3U);
}

TEST_F(LogFollowerTest, CheckpointThatDoesNotCoverLostRecordsIsRejected) {
  this->AppendChange(1);
  this->AppendChange(2);
  // This checkpoint is appended after a change that it does not cover.
  wire::LogRecord late_record;
  late_record.mutable_checkpoint()->set_as_of_offset(
      this->complete_fold.NextOffset());
  late_record.mutable_checkpoint()->set_parts(1);
  for (const auto& service : this->complete_fold.Snapshot()) {
    *late_record.mutable_checkpoint()->add_services() = service;
  }
  this->AppendChange(3);
  this->Append(late_record);
  this->log.DropBelow(3);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kNoCheckpoint);
  EXPECT_EQ(this->Slots(), 0U);
}

TEST_F(LogFollowerTest, IncompleteCheckpointIsRejected) {
  this->AppendChange(1);
  this->AppendCheckpoint(0, 2);
  this->log.DropBelow(1);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kNoCheckpoint);
}

TEST_F(LogFollowerTest, PeerStateOlderThanEarliestRecordIsRejected) {
  this->AppendChange(1);
  const auto old_state = this->complete_fold.Snapshot();
  const std::uint64_t old_offset = this->complete_fold.NextOffset();
  this->AppendChange(2);
  this->AppendChange(3);
  this->log.DropBelow(2);
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kNoCheckpoint);
  EXPECT_FALSE(this->follower.Adopt(old_offset, old_state));
  EXPECT_TRUE(this->follower.Adopt(this->complete_fold.NextOffset(),
                                   this->complete_fold.Snapshot()));
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kCaughtUp);
  EXPECT_EQ(this->Slots(), 3U);
}

TEST_F(LogFollowerTest, OlderStateIsRejected) {
  this->AppendChange(1);
  const auto old_state = this->complete_fold.Snapshot();
  this->AppendChange(2);
  this->Follow();
  EXPECT_FALSE(this->follower.Adopt(1, old_state));
  EXPECT_EQ(this->Slots(), 2U);
}

TEST_F(LogFollowerTest, UnreadableRecordIsSkipped) {
  this->AppendChange(1);
  this->log.Append("\xff\xff\xff", 0);
  this->AppendChange(2);
  // `complete_fold` does not contain the unreadable record.
  EXPECT_EQ(this->Follow(), LogFollower::Progress::kCaughtUp);
  EXPECT_EQ(this->follower.UnreadableRecords(), 1U);
  EXPECT_EQ(this->Slots(), 2U);
}

}  // namespace
}  // namespace hawthornwheel::testing
