#include "base/settings_reader.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "base/ini_file.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kFallback = seconds(9);

struct TimeReading {
  base::Duration value;
  std::vector<base::IniFault> faults;
};

// Reads `text` as a duration of at most an hour.
TimeReading ReadTime(const std::string& text) {
  const base::IniFile file =
      base::IniFile::Parse("f", "[group]\nkey = " + text + "\n");
  base::SettingsReader reader(file);
  const base::Duration value =
      reader.Time("group", "key", kFallback, seconds(0), hours(1));
  return {value, reader.Finish()};
}

struct TimeCase {
  std::string text;
  base::Duration value;
};

class TimeTest : public ::testing::TestWithParam<TimeCase> {};

// Guards against a process that does not start since the platform states a
// duration as a fraction (review/10).
TEST_P(TimeTest, NumberWithUnitIsRead) {
  const TimeReading reading = ReadTime(GetParam().text);
  EXPECT_TRUE(reading.faults.empty());
  EXPECT_EQ(reading.value, GetParam().value);
}

INSTANTIATE_TEST_SUITE_P(
    Forms, TimeTest,
    ::testing::Values(TimeCase{"6s", seconds(6)}, TimeCase{"6.0s", seconds(6)},
                      TimeCase{"6.5s", milliseconds(6'500)},
                      TimeCase{"0s", seconds(0)}, TimeCase{"0.0s", seconds(0)},
                      TimeCase{"1e3ms", seconds(1)},
                      TimeCase{"1e-3s", milliseconds(1)},
                      TimeCase{"999.5ms", microseconds(999'500)},
                      TimeCase{"0.5min", seconds(30)},
                      TimeCase{"0.0001ms", microseconds(0)},
                      TimeCase{"0.3s", milliseconds(300)}));

class TimeFaultTest : public ::testing::TestWithParam<std::string> {};

// Guards against a wrong duration that is taken in silence.
TEST_P(TimeFaultTest, OtherTextIsAFault) {
  const TimeReading reading = ReadTime(GetParam());
  EXPECT_EQ(reading.value, kFallback);
  ASSERT_EQ(reading.faults.size(), 1U);
  EXPECT_EQ(reading.faults[0].key, "group.key");
  EXPECT_EQ(reading.faults[0].reason,
            "must be a number of at least 0 with a unit: ms, s or min");
}

INSTANTIATE_TEST_SUITE_P(Forms, TimeFaultTest,
                         ::testing::Values("6", "6.5", "s", "-1s", "-0.5ms",
                                           "nans", "infs", "1e999s", "6,5s",
                                           "6.5.1s", "1.5h", "true"));

TEST(TimeRangeTest, ValueOutOfRangeIsAFault) {
  const TimeReading reading = ReadTime("3600.1s");
  EXPECT_EQ(reading.value, kFallback);
  ASSERT_EQ(reading.faults.size(), 1U);
  EXPECT_EQ(reading.faults[0].reason, "must be from 0us to 60min");
}

}  // namespace
}  // namespace hawthornwheel::testing
