// Checks that orders to an endpoint do not wait for connections which are held
// by orders without an answer.

#include <gtest/gtest.h>

#include <string>

#include "base/glib_clock.h"
#include "platform/order_client.h"
#include "runs/run_settings.h"
#include "support/loop.h"
#include "support/raw_server.h"

namespace hawthornwheel::testing {
namespace {

constexpr int kUnansweredStarts = 8;

// Guards against TWICE (issue 38): an unanswered start held a connection for
// one lease, so stops found none within their own time limit and were not sent,
// while polls went on renewing the lease of the run.
TEST(OrderConnectionsTest, StopIsSentWhileStartsHaveNoAnswer) {
  int starts = 0;
  bool stop_arrived = false;
  const RawServer server([&](const std::string& text, int) {
    if (text.find("POST /run-start") == 0) ++starts;
    if (text.find("POST /run-stop") == 0) stop_arrived = true;
    return RawResponse{"", false};
  });
  base::GlibClock clock;
  platform::OrderClient client(clock);
  const runs::RunSettings settings;
  for (int i = 0; i < kUnansweredStarts; ++i) {
    runs::StartOrder order;
    order.target = {server.Address(), "i-1", 77, settings.lease};
    order.task = "t.0.0." + std::to_string(i);
    order.run = 1;
    client.Start(order, [](const runs::OrderReply&) {});
  }
  ASSERT_TRUE(RunLoopUntil([&] { return starts >= 4; }));
  std::string outcome;
  client.Stop({server.Address(), "i-1", 77, settings.answer_time}, "t.0.0.0", 1,
              [&](const runs::OrderReply& reply) {
                outcome = runs::NameOf(reply.outcome);
              });
  RunLoopUntil([&] { return stop_arrived || !outcome.empty(); });
  EXPECT_TRUE(stop_arrived) << outcome;
}

}  // namespace
}  // namespace hawthornwheel::testing
