#include "node/platform_node_settings.h"

#include <gtest/gtest.h>

#include <chrono>
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
