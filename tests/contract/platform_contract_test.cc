// Tests the contract of the platform interface. Faults are listed in a table.

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

#include "base/glib_clock.h"
#include "control_log/http_control_client.h"
#include "standins/platform_server.h"
#include "support/http_call.h"
#include "support/loop.h"
#include "support/raw_server.h"

namespace hawthornwheel::testing {
namespace {

using base::ErrorKind;
using base::Result;
using control_log::HttpControlClient;
using std::chrono::seconds;

class PlatformContractTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->address =
        "127.0.0.1:" + std::to_string(*this->server.Listen("127.0.0.1:0"));
  }

  static Result<std::uint64_t> Append(HttpControlClient& client,
                                      const std::string& id) {
    wire::LogRecord record;
    record.set_id(id);
    std::optional<Result<std::uint64_t>> outcome;
    client.Append(record, [&](Result<std::uint64_t> r) { outcome = r; });
    RunLoopUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  static Result<control_log::LogBatch> Read(HttpControlClient& client,
                                            std::uint64_t offset) {
    std::optional<Result<control_log::LogBatch>> outcome;
    client.Read(offset, [&](Result<control_log::LogBatch> r) { outcome = r; });
    RunLoopUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  static Result<wire::VmList> Fetch(HttpControlClient& client,
                                    std::uint64_t known) {
    std::optional<Result<wire::VmList>> outcome;
    client.Fetch(known, [&](Result<wire::VmList> r) { outcome = r; });
    RunLoopUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  void SetFault(const std::string& query) {
    Call("POST", this->address, "/fault?" + query);
  }

  base::GlibClock clock;
  standins::PlatformServer server{this->clock};
  std::string address;
};

TEST_F(PlatformContractTest, AppendsGetConsecutiveOffsets) {
  HttpControlClient client(this->address, seconds(2));
  EXPECT_EQ(*Append(client, "a"), 0U);
  EXPECT_EQ(*Append(client, "b"), 1U);
  const auto batch = Read(client, 1);
  ASSERT_TRUE(batch);
  ASSERT_EQ(batch->records_size(), 1);
  EXPECT_EQ(batch->records(0).offset(), 1U);
  EXPECT_EQ(batch->next(), 2U);
}

TEST_F(PlatformContractTest, ReadAtEndReturnsNoRecords) {
  HttpControlClient client(this->address, seconds(2));
  const auto batch = Read(client, 0);
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->records_size(), 0);
}

TEST_F(PlatformContractTest, LostRecordsAreReported) {
  HttpControlClient client(this->address, seconds(2));
  for (const char* id : {"a", "b", "c"}) ASSERT_TRUE(Append(client, id));
  Call("POST", this->address, "/drop?below=2");
  const auto batch = Read(client, 0);
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->earliest(), 2U);
  EXPECT_EQ(batch->records_size(), 0);
}

struct FaultCase {
  const char* name;
  const char* fault;
  bool append_answered;
  bool append_took_effect;
  bool read_answered;
};

class PlatformFaultTest : public PlatformContractTest,
                          public ::testing::WithParamInterface<FaultCase> {};

TEST_P(PlatformFaultTest, ReportsOutcomeAndSendsAppendOnce) {
  const FaultCase& row = GetParam();
  HttpControlClient client(this->address, seconds(1));
  this->SetFault(row.fault);
  const auto appended = Append(client, "a");
  EXPECT_EQ(appended.HasValue(), row.append_answered);
  if (!appended) {
    EXPECT_EQ(appended.GetError().Kind(), ErrorKind::kLogUnavailable);
  }
  EXPECT_EQ(this->server.Log().Size(), row.append_took_effect ? 1U : 0U);
  EXPECT_EQ(Read(client, 0).HasValue(), row.read_answered);
  // The client sends each append once, also when the answer is lost or late.
  EXPECT_EQ(this->server.Appends(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, PlatformFaultTest,
    ::testing::Values(
        FaultCase{"Up", "append=up", true, true, true},
        FaultCase{"Down", "append=down&read=down", false, false, false},
        FaultCase{"Slow", "append=slow&read=slow", true, true, true},
        FaultCase{"AnswerLostAfterAppend", "append=lost", false, true, true},
        FaultCase{"Stuck", "append=stuck", false, false, true}),
    [](const auto& info) { return info.param.name; });

TEST_F(PlatformContractTest, UnreachablePlatformIsReported) {
  std::string unreachable_address;
  {
    RawServer raw([](const std::string&, int) {
      return RawResponse{"", true};
    });
    unreachable_address = raw.Address();
  }
  HttpControlClient client(unreachable_address, seconds(1));
  EXPECT_FALSE(Append(client, "a"));
  EXPECT_FALSE(Read(client, 0));
  EXPECT_FALSE(Fetch(client, 0));
}

TEST_F(PlatformContractTest, AppendIsNotResentAfterClosedConnection) {
  RawServer raw([](const std::string&, int) { return RawResponse{"", true}; });
  HttpControlClient client(raw.Address(), seconds(1));
  EXPECT_FALSE(Append(client, "a"));
  RunLoopFor(50);
  EXPECT_EQ(raw.Requests(), 1);
}

TEST_F(PlatformContractTest, UnreadableAnswerIsReported) {
  RawServer raw([](const std::string&, int) {
    return RawResponse{
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\xff\xff\xff", false};
  });
  HttpControlClient client(raw.Address(), seconds(1));
  EXPECT_FALSE(Read(client, 0));
}

TEST_F(PlatformContractTest, VmListIsSentOnlyWhenChanged) {
  HttpControlClient client(this->address, seconds(2));
  Call("POST", this->address,
       "/vm?address=10.0.0.1&domain=north&state=leaving&group=booking");
  const auto list = Fetch(client, 0);
  ASSERT_TRUE(list);
  ASSERT_EQ(list->vms_size(), 1);
  EXPECT_EQ(list->vms(0).state(), wire::VM_LEAVING);
  EXPECT_EQ(list->vms(0).group(), "booking");
  const auto again = Fetch(client, list->version());
  ASSERT_TRUE(again);
  EXPECT_EQ(again->version(), list->version());
  EXPECT_EQ(again->vms_size(), 0);
}

}  // namespace
}  // namespace hawthornwheel::testing
