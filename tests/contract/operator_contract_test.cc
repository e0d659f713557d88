// Tests the contract of the operators' interface: service files, publishing,
// settings and the admin address. Faults of files are listed in tables.

#include <fmt/format.h>
#include <glib.h>
#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "base/glib_clock.h"
#include "base/logger.h"
#include "control_log/http_control_client.h"
#include "fleet/service_config.h"
#include "node/node.h"
#include "operators/publisher.h"
#include "operators/service_folder.h"
#include "standins/platform_server.h"
#include "support/http_call.h"
#include "support/loop.h"

namespace hawthornwheel::testing {
namespace {

namespace fs = std::filesystem;

constexpr char kGoodService[] =
    "[service]\nname = booking\nteam = laundry\n"
    "[endpoints]\naddresses = 10.0.0.1:80@north\n";

struct ServiceFileCase {
  const char* name;
  std::string text;
  /// Expected faults as `line: key: reason`, in order.
  std::vector<std::string> faults;
};

class ServiceFileTest : public ::testing::TestWithParam<ServiceFileCase> {};

TEST_P(ServiceFileTest, ReportsAllFaultsWithLineAndKey) {
  const ServiceFileCase& row = GetParam();
  const auto reading = fleet::ReadServiceConfig("f.ini", row.text);
  std::vector<std::string> faults;
  for (const base::IniFault& fault : reading.faults) {
    faults.push_back(base::FormatFault(fault).substr(sizeof("f.ini:") - 1));
  }
  EXPECT_EQ(faults, row.faults);
  EXPECT_EQ(reading.config != nullptr, row.faults.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Files, ServiceFileTest,
    ::testing::Values(
        ServiceFileCase{"Good", kGoodService, {}},
        ServiceFileCase{
            "Empty",
            "",
            {"1: service.name: is missing", "1: service.team: is missing",
             "1: endpoints.addresses: names no endpoint, and "
             "there is no selector"}},
        ServiceFileCase{
            "UnknownKeys",
            std::string(kGoodService) + "slotz = 3\n[limit]\nweight = 2\n",
            {"6: endpoints.slotz: is not a known key",
             "8: limit.weight: is not a known key"}},
        ServiceFileCase{"NotKeyValue",
                        std::string(kGoodService) + "hello\n",
                        {"6: is not of the form key = value"}},
        ServiceFileCase{
            "DuplicateKey",
            std::string(kGoodService) + "slots = 1\nslots = 2\n",
            {"7: endpoints.slots: is a duplicate, first defined in line 6"}},
        ServiceFileCase{"KeyBeforeFirstGroup",
                        "name = x\n" + std::string(kGoodService),
                        {"1: appears before the first group header"}},
        ServiceFileCase{
            "OutOfRange",
            std::string(kGoodService) +
                "slots = 0\nconnections = 9999\n[limits]\nweight = heavy\n",
            {"6: endpoints.slots: must be a whole number from 1 to 1024",
             "7: endpoints.connections: must be a whole number from 1 to 4096",
             "9: limits.weight: must be a number from 0.01 to 100"}},
        ServiceFileCase{
            "TooFewConnections",
            std::string(kGoodService) + "slots = 8\nconnections = 8\n",
            {"7: endpoints.connections: must be greater than slots, "
             "because one connection is reserved for control messages"}},
        ServiceFileCase{
            "WrongUnits",
            std::string(kGoodService) + "[timeouts]\ntask = 5\nlease = 3h\n",
            {"7: timeouts.task: must be a number of at least 0 with a unit: "
             "ms, s or min",
             "8: timeouts.lease: must be a number of at least 0 with a unit: "
             "ms, s or min"}},
        ServiceFileCase{
            "BadEndpoints",
            "[service]\nname = b\nteam = l\n[endpoints]\n"
            "addresses = host:80@north, 10.0.0.1:80, 10.0.0.1:0@north, "
            "10.0.0.2:80@n, 10.0.0.2:80@n\n",
            {"5: endpoints.addresses: 'host:80@north' is not IP:port@domain",
             "5: endpoints.addresses: '10.0.0.1:80' is not IP:port@domain",
             "5: endpoints.addresses: '10.0.0.1:0@north' is not "
             "IP:port@domain",
             "5: endpoints.addresses: '10.0.0.2:80' is listed twice"}},
        ServiceFileCase{"SelectorWithoutPort",
                        "[service]\nname = b\nteam = l\n[endpoints]\n"
                        "selector = g\n",
                        {"4: endpoints.selector_port: is required when "
                         "endpoints.selector is set"}},
        ServiceFileCase{
            "UnknownUrgencyClass",
            std::string(kGoodService) + "[urgency]\nclasses = urgent, soon\n",
            {"7: urgency.classes: 'soon' is not urgent, normal or bulk"}},
        ServiceFileCase{
            "BadName",
            "[service]\nname = a b\nteam = l\n[endpoints]\n"
            "addresses = 10.0.0.1:80@north\n",
            {"2: service.name: must be 1 to 64 letters, digits, '-', '_' or "
             "'.'"}}),
    [](const auto& info) { return info.param.name; });

// Runs the GLib main loop of the test.
class TestLoopRunner final : public operators::LoopRunner {
 public:
  void RunUntil(const bool* done) override {
    while (!*done) g_main_context_iteration(nullptr, TRUE);
  }
};

class PublishTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::SetLogLevel(base::LogLevel::kError);
    this->address =
        fmt::format("127.0.0.1:{}", *this->server.Listen("127.0.0.1:0"));
    this->client = std::make_unique<control_log::HttpControlClient>(
        this->address, std::chrono::seconds(1));
  }

  // Publishes `services` as the operator `name`, who first reads the whole log.
  base::Result<operators::PublishReport> Publish(
      const std::map<std::string, std::string>& services,
      const std::string& name, bool remove_missing = false) {
    operators::ConfigReader reader(*this->client, this->loop);
    operators::Publisher publisher(*this->client, this->loop, reader);
    return publisher.Publish(services, remove_missing, name,
                             fmt::format("{}-{}", name, ++this->publish_count));
  }

  static std::string Service(const std::string& name, int slots) {
    return fmt::format(
        "[service]\nname = {}\nteam = t\n[endpoints]\n"
        "addresses = 10.0.0.1:80@north\nslots = {}\n",
        name, slots);
  }

  base::GlibClock clock;
  standins::PlatformServer server{this->clock};
  TestLoopRunner loop;
  std::string address;
  std::unique_ptr<control_log::HttpControlClient> client;
  int publish_count = 0;
};

TEST_F(PublishTest, AppendsChangedServicesOnly) {
  ASSERT_TRUE(
      this->Publish({{"a", Service("a", 1)}, {"b", Service("b", 1)}}, "ann"));
  const auto second =
      this->Publish({{"a", Service("a", 1)}, {"b", Service("b", 2)}}, "ann");
  ASSERT_TRUE(second);
  ASSERT_EQ(second->differences.size(), 1U);
  EXPECT_EQ(second->differences[0].service, "b");
  EXPECT_EQ(second->differences[0].lines,
            (std::vector<std::string>{"-slots = 1", "+slots = 2"}));
  const auto third =
      this->Publish({{"a", Service("a", 1)}, {"b", Service("b", 2)}}, "ann");
  ASSERT_TRUE(third);
  EXPECT_TRUE(third->differences.empty());
  EXPECT_EQ(this->server.Log().Size(), 2U);
}

TEST_F(PublishTest, RemovesMissingServicesOnlyOnRequest) {
  ASSERT_TRUE(
      this->Publish({{"a", Service("a", 1)}, {"b", Service("b", 1)}}, "ann"));
  EXPECT_TRUE(
      this->Publish({{"a", Service("a", 1)}}, "ann")->differences.empty());
  const auto removed = this->Publish({{"a", Service("a", 1)}}, "ann", true);
  ASSERT_TRUE(removed);
  EXPECT_EQ(removed->differences[0].kind, "removed");
  const auto again =
      this->Publish({{"a", Service("a", 1)}, {"b", Service("b", 1)}}, "ann");
  ASSERT_TRUE(again);
  EXPECT_EQ(again->differences[0].kind, "added");
}

TEST_F(PublishTest, ConcurrentChangeConflictsAndNamesOtherOperator) {
  ASSERT_TRUE(this->Publish({{"a", Service("a", 1)}}, "ann"));
  // Operator "bob" appends after operator "cid" has read the log and before
  // "cid" appends.
  operators::ConfigReader reader(*this->client, this->loop);
  ASSERT_TRUE(reader.CatchUp());
  wire::LogRecord stale_record;
  stale_record.set_id("cid-1");
  stale_record.mutable_change()->set_operator_name("cid");
  wire::ServiceChange* change = stale_record.mutable_change()->add_changes();
  change->set_service("a");
  change->set_base_generation(1);
  change->set_content(Service("a", 3));
  ASSERT_TRUE(this->Publish({{"a", Service("a", 2)}}, "bob"));
  this->server.Log().Append(stale_record.SerializeAsString(), 0);
  ASSERT_TRUE(reader.CatchUp());
  const fleet::ChangeOutcome& outcome = reader.Fold().History().back();
  EXPECT_EQ(outcome.verdict, fleet::ChangeVerdict::kConflict);
  EXPECT_EQ(outcome.detail,
            "service 'a' is at generation 2 by 'bob', the change was made "
            "from 1");
}

TEST_F(PublishTest, UnansweredAppendIsFoundAndNotRepeated) {
  this->server.SetAppendMode("lost");
  const auto report = this->Publish({{"a", Service("a", 1)}}, "ann");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->offset, 0U);
  EXPECT_EQ(this->server.Log().Size(), 1U);
}

TEST_F(PublishTest, LogOutageIsReportedAndPublishesNothing) {
  this->server.SetAppendMode("down");
  const auto report = this->Publish({{"a", Service("a", 1)}}, "ann");
  ASSERT_FALSE(report);
  EXPECT_EQ(report.GetError().Kind(), base::ErrorKind::kLogUnavailable);
  EXPECT_EQ(this->server.Log().Size(), 0U);
}

TEST_F(PublishTest, RecordWithOneConflictChangesNoService) {
  ASSERT_TRUE(this->Publish({{"a", Service("a", 1)}}, "ann"));
  wire::LogRecord record;
  record.set_id("mixed");
  for (const char* name : {"b", "a"}) {
    wire::ServiceChange* change = record.mutable_change()->add_changes();
    change->set_service(name);
    change->set_content(Service(name, 5));
  }
  this->server.Log().Append(record.SerializeAsString(), 0);
  operators::ConfigReader reader(*this->client, this->loop);
  ASSERT_TRUE(reader.CatchUp());
  EXPECT_EQ(reader.Fold().Find("b"), nullptr);
  EXPECT_EQ(reader.Fold().Find("a")->slots, 1U);
}

TEST(ServiceFolderTest, ReportsFaultsOfAllFiles) {
  const fs::path folder =
      fs::path(::testing::TempDir()) / "hawthornwheel-services";
  fs::create_directories(folder / "deep");
  std::ofstream(folder / "a.ini") << "[service]\nname = a\n";
  std::ofstream(folder / "deep" / "b.ini") << kGoodService;
  std::ofstream(folder / "deep" / "c.ini") << kGoodService;
  const operators::ServiceFolder content =
      operators::ReadServiceFolder(folder.string());
  std::vector<std::string> faults;
  for (const base::IniFault& fault : content.faults) {
    faults.push_back(fs::path(fault.file).filename().string() + ":" +
                     std::to_string(fault.line) + ":" + fault.key);
  }
  EXPECT_EQ(faults, (std::vector<std::string>{"a.ini:1:service.team",
                                              "a.ini:1:endpoints.addresses",
                                              "c.ini:2:service.name"}));
  fs::remove_all(folder);
}

struct SettingsCase {
  const char* name;
  const char* text;
  std::vector<std::string> faults;
};

class NodeSettingsTest : public ::testing::TestWithParam<SettingsCase> {};

constexpr char kGoodSettings[] =
    "[process]\nname = n\ndomain = d\n[fleet]\ncluster = c\n"
    "[platform]\naddress = 127.0.0.1:1\n[peers]\naddress = 127.0.0.1:2\n"
    "[callers]\naddress = 127.0.0.1:3\n[admin]\naddress = 127.0.0.1:4\n";

TEST_P(NodeSettingsTest, ReportsAllFaults) {
  const SettingsCase& row = GetParam();
  const auto reading = node::ReadNodeSettings("n.ini", row.text);
  std::vector<std::string> faults;
  for (const base::IniFault& fault : reading.faults) {
    faults.push_back(base::FormatFault(fault).substr(sizeof("n.ini:") - 1));
  }
  EXPECT_EQ(faults, row.faults);
}

INSTANTIATE_TEST_SUITE_P(
    Settings, NodeSettingsTest,
    ::testing::Values(
        SettingsCase{"Good", kGoodSettings, {}},
        SettingsCase{"DuplicateAddresses",
                     "[process]\nname = n\ndomain = d\n[fleet]\ncluster = c\n"
                     "[platform]\naddress = 127.0.0.1:1\n[peers]\n"
                     "address = 127.0.0.1:2\n[callers]\naddress = 127.0.0.1:2\n"
                     "[admin]\naddress = 127.0.0.1:2\n",
                     {"11: callers.address: is the same as peers.address",
                      "13: admin.address: is the same as peers.address"}},
        SettingsCase{
            "MissingKeys",
            "[process]\nname = a b\n",
            {"2: process.name: must be at most 40 letters, digits and dashes",
             "1: process.domain: is missing", "1: peers.address: is missing",
             "1: platform.address: is missing", "1: fleet.cluster: is missing",
             "1: callers.address: is missing", "1: admin.address: is missing"}},
        SettingsCase{
            "UnitsAndUnknownKeys",
            "[process]\nname = n\ndomain = d\ncolour = red\n"
            "[fleet]\ncluster = c\nheartbeat_interval = 5\n"
            "heartbeat_timeout = 200ms\nseeds = somewhere:1\n"
            "[platform]\naddress = example.com:80\n[peers]\n"
            "address = 127.0.0.1:2\n[callers]\naddress = 127.0.0.1:3\n"
            "[admin]\naddress = 127.0.0.1:4\ntoken_file = no-such-file\n",
            {"11: platform.address: must be an IP address and a port, as "
             "IP:port",
             "9: fleet.seeds: 'somewhere:1' is not IP:port",
             "7: fleet.heartbeat_interval: must be a number of at least 0 with "
             "a unit: ms, s or min",
             "8: fleet.heartbeat_timeout: must be at least three heartbeat "
             "intervals",
             "18: admin.token_file: cannot be read: no-such-file",
             "4: process.colour: is not a known key"}}),
    [](const auto& info) { return info.param.name; });

TEST(AdminContractTest, AllPathsRequireToken) {
  base::SetLogLevel(base::LogLevel::kError);
  base::GlibClock clock;
  standins::PlatformServer platform(clock);
  auto reading = node::ReadNodeSettings("n.ini", kGoodSettings);
  node::NodeSettings& settings = reading.settings;
  settings.platform_address =
      fmt::format("127.0.0.1:{}", *platform.Listen("127.0.0.1:0"));
  settings.peer_address = "127.0.0.1:0";
  settings.callers.address = "127.0.0.1:0";
  settings.admin.address = "127.0.0.1:0";
  settings.admin.token = "correct horse";
  node::Node node(settings, [] {});
  ASSERT_TRUE(node.Start());
  const std::string address = node.AdminAddress();
  for (const char* path : {"/dump", "/metrics", "/members", "/other"}) {
    EXPECT_EQ(Call("GET", address, path).status, 401) << path;
    EXPECT_EQ(Call("GET", address, path, "", "wrong horse").status, 401);
  }
  EXPECT_EQ(Call("POST", address, "/drain").status, 401);
  for (const char* path : {"/dump", "/metrics", "/members"}) {
    const auto reply = Call("GET", address, path, "", "correct horse");
    EXPECT_EQ(reply.status, 200) << path;
    EXPECT_EQ(reply.body.front(), '{');
  }
  EXPECT_EQ(Call("GET", address, "/other", "", "correct horse").status, 404);
  // The callers' address does not serve the operators' paths.
  EXPECT_EQ(Call("GET", node.CallerAddress(), "/dump").status, 404);
}

}  // namespace
}  // namespace hawthornwheel::testing
