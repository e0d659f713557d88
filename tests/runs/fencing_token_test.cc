#include "runs/fencing_token.h"

#include <gtest/gtest.h>

namespace hawthornwheel::runs {
namespace {

constexpr std::int64_t kNowMs = 1'796'000'000'000;

TEST(FencingTokenTest, LaterClaimIsHigherForAnyProcess) {
  const FencingToken a("a");
  const FencingToken b("b");
  EXPECT_LT(a.Next(kNowMs, 0), b.Next(kNowMs + 100, 0));
  EXPECT_LT(b.Next(kNowMs, 0), a.Next(kNowMs + 100, 0));
}

TEST(FencingTokenTest, ProcessesGenerateDifferentTokens) {
  EXPECT_NE(FencingToken("a").Next(kNowMs, 0),
            FencingToken("b").Next(kNowMs, 0));
}

TEST(FencingTokenTest, ClaimIsAboveFloorWhenClockGoesBack) {
  const FencingToken a("a");
  const std::uint64_t floor = a.Next(kNowMs, 0);
  EXPECT_GT(a.Next(kNowMs - 5'000, floor), floor);
}

TEST(FencingTokenTest, TokenIsExactAsJsonNumber) {
  EXPECT_LT(FencingToken("a").Next(kNowMs, 0), 1ULL << 53);
}

TEST(FencingTokenTest, RecheckStaysBelowNextClaimAndIsLimited) {
  const FencingToken a("a");
  const std::uint64_t claim = a.Next(kNowMs, 0);
  const std::uint64_t next = FencingToken("b").Next(kNowMs + 100, 0);
  std::uint64_t token = claim;
  int rechecks = 0;
  while (const auto higher = a.Recheck(token)) {
    EXPECT_GT(*higher, token);
    EXPECT_LT(*higher, next);
    token = *higher;
    ++rechecks;
  }
  EXPECT_GT(rechecks, 100);
}

}  // namespace
}  // namespace hawthornwheel::runs
