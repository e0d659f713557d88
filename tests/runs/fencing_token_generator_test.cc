#include "runs/fencing_token_generator.h"

#include <gtest/gtest.h>

namespace hawthornwheel::runs {
namespace {

constexpr std::int64_t kNowMs = 1'796'000'000'000;

TEST(FencingTokenTest, LaterClaimIsHigherForAnyProcess) {
  const FencingTokenGenerator a("a");
  const FencingTokenGenerator b("b");
  EXPECT_LT(a.NextClaim(kNowMs, 0), b.NextClaim(kNowMs + 100, 0));
  EXPECT_LT(b.NextClaim(kNowMs, 0), a.NextClaim(kNowMs + 100, 0));
}

TEST(FencingTokenTest, ProcessesGenerateDifferentTokens) {
  EXPECT_NE(FencingTokenGenerator("a").NextClaim(kNowMs, 0),
            FencingTokenGenerator("b").NextClaim(kNowMs, 0));
}

TEST(FencingTokenTest, ClaimIsAboveFloorWhenClockGoesBack) {
  const FencingTokenGenerator a("a");
  const std::uint64_t floor = a.NextClaim(kNowMs, 0);
  EXPECT_GT(a.NextClaim(kNowMs - 5'000, floor), floor);
}

TEST(FencingTokenTest, TokenIsExactAsJsonNumber) {
  EXPECT_LT(FencingTokenGenerator("a").NextClaim(kNowMs, 0), 1ULL << 53);
}

TEST(FencingTokenTest, RecheckStaysBelowNextClaimAndIsLimited) {
  const FencingTokenGenerator a("a");
  const std::uint64_t claim = a.NextClaim(kNowMs, 0);
  const std::uint64_t next =
      FencingTokenGenerator("b").NextClaim(kNowMs + 100, 0);
  std::uint64_t token = claim;
  int rechecks = 0;
  while (const auto higher = a.NextRecheck(token)) {
    EXPECT_GT(*higher, token);
    EXPECT_LT(*higher, next);
    token = *higher;
    ++rechecks;
  }
  EXPECT_GT(rechecks, 100);
}

}  // namespace
}  // namespace hawthornwheel::runs
