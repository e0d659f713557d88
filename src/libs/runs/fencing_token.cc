#include "runs/fencing_token.h"

#include <xxhash.h>

#include <algorithm>

namespace hawthornwheel::runs {
namespace {

// JSON numbers are exact up to 2^53. Wall time since 1970 in units of 16 ms
// needs 37 bits until 2039, which leaves 16 bits for the other two parts.
constexpr int kRecheckBits = 8;
constexpr int kUniqueBits = 8;
constexpr int kTimeShift = kRecheckBits + kUniqueBits;
constexpr std::int64_t kTimeUnitMs = 16;
constexpr std::uint64_t kUniqueMask = (1U << kUniqueBits) - 1;
constexpr std::uint64_t kRecheckMask = (1U << kRecheckBits) - 1;

}  // namespace

FencingToken::FencingToken(const std::string& incarnation)
    : unique(XXH64(incarnation.data(), incarnation.size(), 0) & kUniqueMask) {}

std::uint64_t FencingToken::Next(std::int64_t wall_ms,
                                 std::uint64_t floor) const {
  const auto now = static_cast<std::uint64_t>(
      std::max<std::int64_t>(wall_ms / kTimeUnitMs, 1));
  const std::uint64_t time = std::max(now, (floor >> kTimeShift) + 1);
  return (time << kTimeShift) | (this->unique << kRecheckBits);
}

std::optional<std::uint64_t> FencingToken::Recheck(std::uint64_t token) const {
  if ((token & kRecheckMask) == kRecheckMask) return std::nullopt;
  return token + 1;
}

std::uint64_t FencingToken::Raise(std::uint64_t token, std::int64_t ms) const {
  return this->Next(
      (static_cast<std::int64_t>(token >> kTimeShift)) * kTimeUnitMs + ms,
      token);
}

}  // namespace hawthornwheel::runs
