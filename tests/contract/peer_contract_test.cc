// Tests the contract of the interface between processes. Mismatches are listed
// in a table.

#include <gtest/gtest.h>
#include <zmq.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/glib_clock.h"
#include "base/metrics.h"
#include "fleet/peer_messenger.h"
#include "peers/zmq_transport.h"
#include "support/loop.h"

namespace hawthornwheel::testing {
namespace {

using base::ErrorKind;
using base::Result;
using fleet::PeerMessenger;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Holds the transport and the messenger of one process. The messenger needs the
// address that the transport has bound.
struct Peer {
  Peer(base::Clock& clock, const std::string& cluster, const std::string& name)
      : transport(metrics),
        address(*transport.Bind("127.0.0.1:0")),
        messenger(clock, transport, metrics, cluster, name, address) {}

  base::Metrics metrics;
  peers::ZmqTransport transport;
  std::string address;
  PeerMessenger messenger;
};

wire::Envelope Query(const std::string& key) {
  wire::Envelope envelope;
  envelope.mutable_query()->set_key(key);
  return envelope;
}

wire::Envelope Answer(const std::string& key) {
  wire::Envelope envelope;
  envelope.mutable_answer()->mutable_answer()->set_key(key);
  return envelope;
}

Result<wire::Envelope> SendRequest(Peer& from, const std::string& to,
                                   base::Duration timeout) {
  std::optional<Result<wire::Envelope>> outcome;
  from.messenger.Request(to, Query("k"), timeout,
                         [&](Result<wire::Envelope> r) { outcome = r; });
  RunLoopUntil([&] { return outcome.has_value(); });
  return *outcome;
}

TEST(PeerContractTest, AnswersInReverseOrderMatchRequests) {
  base::GlibClock clock;
  Peer a(clock, "c", "a");
  Peer b(clock, "c", "b");
  std::vector<wire::Envelope> pending_requests;
  b.messenger.SetHandler(wire::Envelope::kQuery,
                         [&](const wire::Envelope& request) {
                           pending_requests.push_back(request);
                           if (pending_requests.size() < 3) return;
                           // Sends the answers in reverse order.
                           for (auto it = pending_requests.rbegin();
                                it != pending_requests.rend(); ++it) {
                             b.messenger.Reply(*it, Answer(it->query().key()));
                           }
                         });
  std::vector<std::string> received_keys(3);
  int answers = 0;
  for (int i = 0; i < 3; ++i) {
    a.messenger.Request(b.address, Query("key" + std::to_string(i)), seconds(5),
                        [&, i](const Result<wire::Envelope>& r) {
                          ASSERT_TRUE(r);
                          received_keys[static_cast<std::size_t>(i)] =
                              r->answer().answer().key();
                          ++answers;
                        });
  }
  ASSERT_TRUE(RunLoopUntil([&] { return answers == 3; }));
  EXPECT_EQ(received_keys, (std::vector<std::string>{"key0", "key1", "key2"}));
}

struct MismatchCase {
  const char* name;
  const char* cluster;
  std::uint32_t version;
  const char* reason;
};

class PeerMismatchTest : public ::testing::TestWithParam<MismatchCase> {};

TEST_P(PeerMismatchTest, IsRefusedWithReason) {
  const MismatchCase& row = GetParam();
  base::GlibClock clock;
  Peer b(clock, "c", "b");
  bool handled = false;
  b.messenger.SetHandler(wire::Envelope::kQuery,
                         [&](const wire::Envelope&) { handled = true; });
  base::Metrics metrics;
  peers::ZmqTransport other_process(metrics);
  const std::string address = *other_process.Bind("127.0.0.1:0");
  std::optional<wire::Envelope> answer;
  other_process.SetReceiver([&](const wire::Envelope& e) { answer = e; });
  wire::Envelope envelope = Query("k");
  envelope.set_cluster(row.cluster);
  envelope.set_version(row.version);
  envelope.set_sender("stranger");
  envelope.set_sender_address(address);
  envelope.set_correlation(7);
  other_process.Send(b.address, envelope);
  ASSERT_TRUE(RunLoopUntil([&] { return answer.has_value(); }));
  EXPECT_FALSE(handled);
  EXPECT_EQ(answer->correlation(), 7U);
  EXPECT_EQ(answer->refusal().reason(), row.reason);
}

INSTANTIATE_TEST_SUITE_P(
    Mismatches, PeerMismatchTest,
    ::testing::Values(
        MismatchCase{
            "OtherCluster", "other", fleet::kPeerProtocolVersion,
            "the receiver belongs to cluster 'c', the sender to 'other'"},
        MismatchCase{"OtherVersion", "c", fleet::kPeerProtocolVersion + 1,
                     "the receiver speaks protocol version 1, the sender 2"}),
    [](const auto& info) { return info.param.name; });

TEST(PeerContractTest, RefusedRequestFailsWithPeerMismatch) {
  base::GlibClock clock;
  Peer a(clock, "other", "a");
  Peer b(clock, "c", "b");
  const auto outcome = SendRequest(a, b.address, seconds(20));
  ASSERT_FALSE(outcome);
  EXPECT_EQ(outcome.GetError().Kind(), ErrorKind::kPeerMismatch);
}

TEST(PeerContractTest, RequestToMissingPeerTimesOut) {
  base::GlibClock clock;
  Peer a(clock, "c", "a");
  std::string unreachable_address;
  { unreachable_address = Peer(clock, "c", "b").address; }
  const auto outcome = SendRequest(a, unreachable_address, milliseconds(100));
  ASSERT_FALSE(outcome);
  EXPECT_EQ(outcome.GetError().Kind(), ErrorKind::kHomeUnreachable);
  EXPECT_EQ(a.messenger.PendingRequests(), 0U);
}

TEST(PeerContractTest, AnswerForEarlierIncarnationIsDropped) {
  base::GlibClock clock;
  Peer a(clock, "c", "a.2");
  Peer b(clock, "c", "b");
  b.messenger.SetHandler(
      wire::Envelope::kQuery, [&](const wire::Envelope& request) {
        wire::Envelope earlier_request = request;
        earlier_request.set_sender("a.1");
        b.messenger.Reply(earlier_request, Answer("crossed"));
        b.messenger.Reply(request, Answer("right"));
      });
  const auto outcome = SendRequest(a, b.address, seconds(5));
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->answer().answer().key(), "right");
  EXPECT_EQ(a.metrics.Counter("peer.crossed_answers"), 1U);
}

TEST(PeerContractTest, SecondAnswerIsDropped) {
  base::GlibClock clock;
  Peer a(clock, "c", "a");
  Peer b(clock, "c", "b");
  b.messenger.SetHandler(wire::Envelope::kQuery,
                         [&](const wire::Envelope& request) {
                           b.messenger.Reply(request, Answer("first"));
                           b.messenger.Reply(request, Answer("second"));
                         });
  const auto outcome = SendRequest(a, b.address, seconds(5));
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->answer().answer().key(), "first");
  RunLoopUntil([&] { return a.metrics.Counter("peer.late_answers") == 1; });
}

TEST(PeerContractTest, UnknownFieldsAreIgnored) {
  base::GlibClock clock;
  Peer a(clock, "c", "a");
  Peer b(clock, "c", "b");
  std::string key;
  b.messenger.SetHandler(
      wire::Envelope::kQuery,
      [&](const wire::Envelope& request) { key = request.query().key(); });
  wire::Envelope envelope = Query("k");
  constexpr int kFutureField = 999;
  envelope.GetReflection()->MutableUnknownFields(&envelope)->AddLengthDelimited(
      kFutureField, "future");
  a.messenger.Notify(b.address, envelope);
  EXPECT_TRUE(RunLoopUntil([&] { return key == "k"; }));
}

TEST(PeerContractTest, UnreadableMessageIsDroppedAndCounted) {
  base::GlibClock clock;
  Peer b(clock, "c", "b");
  void* context = zmq_ctx_new();
  void* socket = zmq_socket(context, ZMQ_PUSH);
  ASSERT_EQ(zmq_connect(socket, ("tcp://" + b.address).c_str()), 0);
  zmq_send(socket, "\xff\xff\xff", 3, 0);
  EXPECT_TRUE(
      RunLoopUntil([&] { return b.metrics.Counter("peer.unreadable") == 1; }));
  zmq_close(socket);
  zmq_ctx_term(context);
}

TEST(PeerContractTest, FullQueueRejectsNextMessage) {
  base::GlibClock clock;
  Peer a(clock, "c", "a");
  std::string unreachable_address;
  { unreachable_address = Peer(clock, "c", "b").address; }
  int accepted = 0;
  while (a.messenger.Notify(unreachable_address, Query("k")) &&
         accepted < 100'000) {
    ++accepted;
  }
  EXPECT_LT(accepted, 100'000);
  EXPECT_EQ(a.metrics.Counter("peer.dropped"), 1U);
}

TEST(PeerContractTest, AllMessagesOfBurstArrive) {
  base::GlibClock clock;
  Peer a(clock, "c", "a");
  Peer b(clock, "c", "b");
  constexpr int kMessages = 20'000;
  int received = 0;
  b.messenger.SetHandler(wire::Envelope::kQuery,
                         [&](const wire::Envelope&) { ++received; });
  int sent = 0;
  while (sent < kMessages) {
    if (a.messenger.Notify(b.address, Query("k"))) ++sent;
    if (sent % 1000 == 0) RunLoopUntil([&] { return received + 5000 > sent; });
  }
  EXPECT_TRUE(RunLoopUntil([&] { return received == kMessages; }));
}

}  // namespace
}  // namespace hawthornwheel::testing
