#include "node/platform_node_settings.h"

#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

namespace hawthornwheel::testing {
namespace {

using node::PlatformNodeSettings;
using std::chrono::milliseconds;

std::string Text(const std::string& more = "") {
  return "[process]\nplatform = hosted\nname = a\ndomain = north\n"
         "cpu_share = 0.09\n"
         "[peers]\naddress = 10.0.0.1:7\nseeds = 10.0.0.2:9\n"
         "[callers]\naddress = 10.0.0.1:1\n[ready]\naddress = 10.0.0.1:2\n"
         "[platform]\naddress = 10.0.0.9:3\n" +
         more;
}

TEST(PlatformNodeSettingsTest, SeedsUsePortOfPeerAddress) {
  const auto reading = PlatformNodeSettings::Read("f", Text());
  ASSERT_TRUE(reading.faults.empty());
  EXPECT_EQ(reading.settings.seeds, std::vector<std::string>{"10.0.0.2:7"});
  EXPECT_EQ(reading.settings.advertised_address, "10.0.0.1:7");
}

TEST(PlatformNodeSettingsTest, RunAndJobGroupsAreRead) {
  const auto reading = PlatformNodeSettings::Read(
      "f", Text("[runs]\nlease = 900ms\n[jobs]\nfar_factor = 3\n"));
  ASSERT_TRUE(reading.faults.empty());
  EXPECT_EQ(reading.settings.runs.lease, milliseconds(900));
  EXPECT_DOUBLE_EQ(reading.settings.jobs.far_factor, 3);
}

TEST(PlatformNodeSettingsTest, FaultsIncludeTheirKeys) {
  const auto reading = PlatformNodeSettings::Read(
      "f", Text("[jobs]\nfar_factor = 0.5\n[nonsense]\nkey = 1\n"));
  ASSERT_EQ(reading.faults.size(), 2U);
  EXPECT_EQ(reading.faults[0].key, "jobs.far_factor");
}

// Fills in the settings template like the platform: with the values of `values`
// where it has them, else with those of a small site.
std::string FillTemplate(const std::map<std::string, std::string>& values) {
  std::map<std::string, std::string> fields = {
      {"node", "a"},
      {"zone", "north"},
      {"limits.cpuShare", "0.25"},
      {"bounds.graceS", "6"},
      {"ip", "10.0.0.1"},
      {"portRange.0", "7720"},
      {"seeds", "10.0.0.1:8166,10.0.0.2:8166"},
      {"listen.front", "10.0.0.1:8161"},
      {"listen.ready", "10.0.0.1:8167"},
      {"platform.addr", "10.0.0.9:8169"},
      {"bounds.holdMaxMs", "1000"},
      {"bounds.stopMs", "50"},
      {"bounds.farFactor", "2"}};
  for (const auto& [name, value] : values) fields[name] = value;
  std::ifstream file(SETTINGS_TEMPLATE);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  for (const auto& [name, value] : fields) {
    const std::string placeholder = "{{" + name + "}}";
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

PlatformNodeSettings::Reading ReadTemplate(const std::string& name,
                                           const std::string& value) {
  return PlatformNodeSettings::Read("f", FillTemplate({{name, value}}));
}

TEST(SettingsTemplateTest, AllPlaceholdersAreKnown) {
  EXPECT_EQ(FillTemplate({}).find("{{"), std::string::npos);
  EXPECT_TRUE(PlatformNodeSettings::Read("f", FillTemplate({})).faults.empty());
}

struct FigureCase {
  std::string name;
  std::string value;
};

class AcceptedFigureTest : public ::testing::TestWithParam<FigureCase> {};

// Guards against a process that does not start, or refuses a reload, since the
// platform states a figure in a form that is not a plain whole number
// (review/10).
TEST_P(AcceptedFigureTest, HasNoFault) {
  const auto reading = ReadTemplate(GetParam().name, GetParam().value);
  for (const base::IniFault& fault : reading.faults) {
    ADD_FAILURE() << base::FormatFault(fault);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Figures, AcceptedFigureTest,
    ::testing::Values(
        FigureCase{"bounds.graceS", "6.5"}, FigureCase{"bounds.graceS", "6.0"},
        FigureCase{"bounds.graceS", "0"}, FigureCase{"bounds.graceS", "1e1"},
        FigureCase{"bounds.holdMaxMs", "1000.0"},
        FigureCase{"bounds.holdMaxMs", "999.5"},
        FigureCase{"bounds.holdMaxMs", "1e3"}, FigureCase{"bounds.stopMs", "0"},
        FigureCase{"bounds.stopMs", "50.0"},
        FigureCase{"bounds.stopMs", "12.5"},
        FigureCase{"bounds.farFactor", "1"},
        FigureCase{"bounds.farFactor", "2.5"},
        FigureCase{"bounds.farFactor", "2e0"},
        FigureCase{"limits.cpuShare", "1"},
        FigureCase{"limits.cpuShare", "0.09"},
        FigureCase{"limits.cpuShare", "9e-2"}));

class RefusedFigureTest : public ::testing::TestWithParam<FigureCase> {};

TEST_P(RefusedFigureTest, HasOneFault) {
  EXPECT_EQ(ReadTemplate(GetParam().name, GetParam().value).faults.size(), 1U);
}

// A lease of 0 cannot be held, a factor below 1 would make the way to the data
// a gain, and a process without processor time serves nobody.
INSTANTIATE_TEST_SUITE_P(Figures, RefusedFigureTest,
                         ::testing::Values(FigureCase{"bounds.graceS", "-6"},
                                           FigureCase{"bounds.graceS", "true"},
                                           FigureCase{"bounds.holdMaxMs", "0"},
                                           FigureCase{"bounds.stopMs", "-0.5"},
                                           FigureCase{"bounds.farFactor", "0"},
                                           FigureCase{"bounds.farFactor", ""},
                                           FigureCase{"limits.cpuShare", "0"}));

TEST(SettingsTemplateTest, FractionsKeepTheirValue) {
  EXPECT_EQ(ReadTemplate("bounds.graceS", "6.5").settings.drain_time,
            milliseconds(6'500));
  EXPECT_EQ(ReadTemplate("bounds.holdMaxMs", "999.5").settings.runs.lease,
            std::chrono::microseconds(999'500));
  EXPECT_EQ(ReadTemplate("bounds.stopMs", "12.5").settings.runs.stop_time,
            std::chrono::microseconds(12'500));
}

// Guards against leases that outlast the time after which a caller submits the
// job of a lost process again (1.3 s), where the platform grants longer ones.
TEST(SettingsTemplateTest, LeaseIsOneSecondAtMost) {
  for (const char* granted : {"1001", "3000", "90000"}) {
    const auto reading = ReadTemplate("bounds.holdMaxMs", granted);
    EXPECT_TRUE(reading.faults.empty()) << granted;
    EXPECT_EQ(reading.settings.runs.lease, milliseconds(1'000)) << granted;
  }
}

// Guards against a process that does not start since the platform grants only
// short leases, and against polls that renew them too late.
TEST(SettingsTemplateTest, ShortLeaseIsRenewedInTime) {
  const auto reading = ReadTemplate("bounds.holdMaxMs", "400");
  EXPECT_TRUE(reading.faults.empty());
  const runs::RunSettings& settings = reading.settings.runs;
  EXPECT_EQ(settings.lease, milliseconds(400));
  EXPECT_EQ(settings.poll_wait, milliseconds(100));
  EXPECT_EQ(settings.answer_time, milliseconds(60));
}

TEST(PlatformNodeSettingsTest, OnlyOwnAddressesRequireRestart) {
  const PlatformNodeSettings old =
      PlatformNodeSettings::Read("f", Text()).settings;
  PlatformNodeSettings changed = old;
  changed.store_address = "10.0.0.8:3";
  changed.weight = 90;
  EXPECT_FALSE(changed.AddressesDifferFrom(old));
  changed.caller_address = "10.0.0.1:4";
  EXPECT_TRUE(changed.AddressesDifferFrom(old));
}

}  // namespace
}  // namespace hawthornwheel::testing
