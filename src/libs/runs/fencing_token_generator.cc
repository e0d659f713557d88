#include "runs/fencing_token_generator.h"

#include <xxhash.h>

#include <algorithm>

namespace hawthornwheel::runs {
namespace {

// JSON numbers are exact up to 2^53. Wall time since 1970 in units of 16 ms
// needs 37 bits until 2039, which leaves 16 bits for the other two parts.
constexpr int kRecheckBits = 8;
constexpr int kIncarnationHashBits = 8;
constexpr int kTimeShift = kRecheckBits + kIncarnationHashBits;
constexpr std::int64_t kTimeUnitMs = 16;
constexpr std::uint64_t kIncarnationHashMask = (1U << kIncarnationHashBits) - 1;
constexpr std::uint64_t kRecheckMask = (1U << kRecheckBits) - 1;

}  // namespace

FencingTokenGenerator::FencingTokenGenerator(const std::string& incarnation)
    : incarnation_hash(XXH64(incarnation.data(), incarnation.size(), 0) &
                       kIncarnationHashMask) {}

std::uint64_t FencingTokenGenerator::NextClaim(std::int64_t wall_ms,
                                               std::uint64_t floor) const {
  const auto now = static_cast<std::uint64_t>(
      std::max<std::int64_t>(wall_ms / kTimeUnitMs, 1));
  const std::uint64_t time = std::max(now, (floor >> kTimeShift) + 1);
  return (time << kTimeShift) | (this->incarnation_hash << kRecheckBits);
}

std::optional<std::uint64_t> FencingTokenGenerator::NextRecheck(
    std::uint64_t token) const {
  if ((token & kRecheckMask) == kRecheckMask) return std::nullopt;
  return token + 1;
}

std::uint64_t FencingTokenGenerator::Raise(std::uint64_t token,
                                           std::int64_t ms) const {
  return this->NextClaim(
      (static_cast<std::int64_t>(token >> kTimeShift)) * kTimeUnitMs + ms,
      token);
}

}  // namespace hawthornwheel::runs
