#include "platform/json_record_decoder.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

namespace hawthornwheel::platform {
namespace {

using std::chrono::milliseconds;

TEST(RecordCodecTest, DecodesConfiguration) {
  const auto configuration = JsonRecordDecoder().DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/p/",
      "timeoutMs":1500,"sloMs":60,"priority":2,"service":"s","attempts":4,
      "stretch":1.6,"unknown":[]}],"limits":{"bodyBytes":9,"idleTimeoutMs":5}})");
  ASSERT_TRUE(configuration.HasValue());
  EXPECT_EQ(configuration->version, 7U);
  const catalog::Route* route = configuration->FindRoute("h.example", "/p/x");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->timeout, milliseconds(1500));
  EXPECT_EQ(route->objective_slack, milliseconds(60));
  EXPECT_EQ(route->max_attempts, 4);
  EXPECT_EQ(configuration->limits.body_bytes, 9U);
  EXPECT_EQ(configuration->FindRoute("other.example", "/p/x"), nullptr);
}

TEST(RecordCodecTest, LongestMatchingPrefixIsSelected) {
  const auto configuration = JsonRecordDecoder().DecodeConfiguration(
      R"({"version":1,"routes":[{"name":"a","host":"h","prefix":"/p/"},
      {"name":"b","host":"h","prefix":"/p/q/"}]})");
  ASSERT_TRUE(configuration.HasValue());
  EXPECT_EQ(configuration->FindRoute("h", "/p/q/x")->name, "b");
  EXPECT_EQ(configuration->FindRoute("h", "/p/x")->name, "a");
}

TEST(RecordCodecTest, DecodesEndpoint) {
  const auto entry = JsonRecordDecoder().DecodeEndpoint(
      "i-1",
      R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","state":"draining",
      "capacity":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],
      "born":1700000000000})");
  ASSERT_TRUE(entry.HasValue());
  EXPECT_TRUE(entry->draining);
  EXPECT_EQ(entry->capacity.cpu_milli, 16'000);
  EXPECT_EQ(entry->labels.size(), 2U);
  EXPECT_EQ(entry->incarnation_start_ms, 1'700'000'000'000);
}

std::string EntryWith(const std::string& address, const std::string& more) {
  return R"({"service":"s","addr":")" + address +
         R"(","zone":"z","state":"ready","capacity":{"cpu":16000})" + more +
         "}";
}

// Guards against processes that end on an entry that another program wrote: a
// deep value is read and dropped again without recursion.
TEST(RecordCodecTest, DeeplyNestedEntryIsDecoded) {
  constexpr std::size_t kDepth = 500'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto entry = JsonRecordDecoder().DecodeEndpoint(
      "i-1", EntryWith("10.0.0.9:80", R"(,"labels":)" + deep));
  ASSERT_TRUE(entry.HasValue());
  EXPECT_TRUE(entry->labels.empty());
  EXPECT_FALSE(JsonRecordDecoder().DecodeEndpoint("i-1", deep).HasValue());
}

// Guards against an endpoint id that adds header lines to orders, or that makes
// the heartbeats in which it is listed unreadable.
TEST(RecordCodecTest, EndpointIdMustBeVisibleText) {
  const std::string entry = EntryWith("10.0.0.9:80", "");
  EXPECT_TRUE(JsonRecordDecoder().DecodeEndpoint("i-1", entry).HasValue());
  for (const char* id : {"", "a b", "a\r\nX-Y: z", "\xff\xfe", "a\x7f"}) {
    EXPECT_FALSE(JsonRecordDecoder().DecodeEndpoint(id, entry).HasValue())
        << id;
  }
}

// Checks that the decoder rejects entries with numbers that no endpoint has.
class OddEndpointTest : public ::testing::TestWithParam<std::string> {};

TEST_P(OddEndpointTest, IsRejected) {
  EXPECT_FALSE(
      JsonRecordDecoder().DecodeEndpoint("i-1", GetParam()).HasValue());
}

INSTANTIATE_TEST_SUITE_P(
    Table, OddEndpointTest,
    ::testing::Values(EntryWith("10.0.0.9:70000", ""),
                      EntryWith("10.0.0.9:0", ""), EntryWith("10.0.0.9:-1", ""),
                      EntryWith("10.0.0.9:99999999999999999999", ""),
                      EntryWith("10.0.0.9:80", R"(,"born":1e400)"),
                      EntryWith("10.0.0.9:80", R"(,"born":1e300)"),
                      EntryWith("10.0.0.9:80",
                                R"(,"born":18446744073709551615)"),
                      EntryWith("10.0.0.9:80", R"(,"born":-1)"),
                      R"({"service":"s","addr":"10.0.0.9:80","state":"ready",)"
                      R"("capacity":{"cpu":1e300}})",
                      R"({"service":"s","addr":"10.0.0.9:80","state":"ready",)"
                      R"("capacity":{"cpu":-1}})",
                      R"({"service":"s","addr":"10.0.0.9:80","state":"ready",)"
                      R"("capacity":{"memMb":18446744073709551615}})"));

// Guards against a span that overflows when it is added to a time.
TEST(RecordCodecTest, SpansOfRoutesAreBounded) {
  const auto configuration = JsonRecordDecoder().DecodeConfiguration(
      R"({"version":1,"routes":[{"name":"a","host":"h","prefix":"/p/",
      "timeoutMs":9007199254740992,"sloMs":-5}]})");
  ASSERT_TRUE(configuration.HasValue());
  const catalog::Route* route = configuration->FindRoute("h", "/p/x");
  EXPECT_EQ(route->timeout, std::chrono::hours(24));
  EXPECT_EQ(route->objective_slack, milliseconds(0));
}

TEST(RecordCodecTest, DecodesEvacuatedDomain) {
  const JsonRecordDecoder decoder;
  EXPECT_EQ(decoder.DecodeEvacuatedDomain("evacuate/z-1"), "z-1");
  EXPECT_EQ(decoder.DecodeEvacuatedDomain("evacuate/a/b c"), "a/b c");
}

// Guards against other keys of the topic that are taken for evacuations, and
// against a domain that makes the messages to peers unreadable.
TEST(RecordCodecTest, OtherKeysEvacuateNothing) {
  const JsonRecordDecoder decoder;
  for (const char* key : {"", "config", "evacuate", "evacuate/", "evacuated/z",
                          "Evacuate/z", " evacuate/z", "evacuate/\xff\xfe"}) {
    EXPECT_EQ(decoder.DecodeEvacuatedDomain(key), std::nullopt) << key;
  }
}

// Checks that the decoder rejects invalid endpoint records, which other
// programs may write.
class InvalidEndpointTest : public ::testing::TestWithParam<const char*> {};

TEST_P(InvalidEndpointTest, IsRejected) {
  EXPECT_FALSE(
      JsonRecordDecoder().DecodeEndpoint("i-1", GetParam()).HasValue());
}

INSTANTIATE_TEST_SUITE_P(
    Table, InvalidEndpointTest,
    ::testing::Values(
        "", "\x80\x81", "[]", "{}", R"({"service":7})",
        R"({"service":"s","addr":"nowhere","state":"ready","capacity":{}})",
        R"({"service":"s","addr":"10.0.0.9:80","state":"odd","capacity":{}})",
        R"({"service":"s","addr":"10.0.0.9:80","state":"ready"})",
        R"({"service":"s","addr":"10.0.0.9:80","state":"ready","capacity":3})"));

class InvalidConfigurationTest : public ::testing::TestWithParam<const char*> {
};

TEST_P(InvalidConfigurationTest, IsRejected) {
  EXPECT_FALSE(JsonRecordDecoder().DecodeConfiguration(GetParam()).HasValue());
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidConfigurationTest,
                         ::testing::Values("", "x", "[]", "{}",
                                           R"({"version":"7"})",
                                           R"({"version":7})",
                                           R"({"version":7,"routes":{}})",
                                           R"({"version":7,"routes":[1]})"));

}  // namespace
}  // namespace hawthornwheel::platform
