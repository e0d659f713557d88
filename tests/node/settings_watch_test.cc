#include "node/settings_watch.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "support/manual_clock.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::seconds;

class SettingsWatchTest : public ::testing::Test {
 protected:
  SettingsWatchTest() { this->Write("old"); }
  ~SettingsWatchTest() override { std::remove(this->path.c_str()); }

  void Write(const std::string& text) const {
    std::ofstream(this->path) << text;
  }

  std::string path = ::testing::TempDir() + "settings_watch_test.ini";
  ManualClock clock;
  std::vector<std::string> seen;
  node::SettingsWatch watch{
      this->clock, this->path, "old",
      [this](const std::string& text) { this->seen.push_back(text); }};
};

TEST_F(SettingsWatchTest, ChangeIsReportedWithoutSignal) {
  this->watch.Start();
  this->clock.Advance(seconds(3));
  EXPECT_TRUE(this->seen.empty());
  this->Write("new");
  this->clock.Advance(seconds(2));
  EXPECT_EQ(this->seen, std::vector<std::string>{"new"});
}

TEST_F(SettingsWatchTest, CheckReportsChangeOnce) {
  this->Write("new");
  this->watch.Check();
  this->watch.Check();
  EXPECT_EQ(this->seen, std::vector<std::string>{"new"});
}

TEST_F(SettingsWatchTest, MissingFileIsIgnored) {
  std::remove(this->path.c_str());
  this->watch.Check();
  EXPECT_TRUE(this->seen.empty());
  this->Write("new");
  this->watch.Check();
  EXPECT_EQ(this->seen.size(), 1U);
}

}  // namespace
}  // namespace hawthornwheel::testing
