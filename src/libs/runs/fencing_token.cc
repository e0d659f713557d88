#include "runs/fencing_token.h"

#include <xxhash.h>

#include <algorithm>

namespace hawthornwheel::runs {
namespace {

// JSON numbers are exact up to 2^53; milliseconds since 1970 take 41 bits.
constexpr int kUniqueBits = 11;
constexpr std::uint64_t kUniqueMask = (1U << kUniqueBits) - 1;

}  // namespace

FencingToken::FencingToken(const std::string& incarnation)
    : unique(XXH64(incarnation.data(), incarnation.size(), 0) & kUniqueMask) {}

std::uint64_t FencingToken::Next(std::int64_t wall_ms,
                                 std::uint64_t floor) const {
  const auto now =
      static_cast<std::uint64_t>(std::max<std::int64_t>(wall_ms, 1));
  const std::uint64_t time = std::max(now, (floor >> kUniqueBits) + 1);
  return (time << kUniqueBits) | this->unique;
}

std::uint64_t FencingToken::Raise(std::uint64_t token, std::int64_t ms) const {
  const std::uint64_t time =
      (token >> kUniqueBits) + static_cast<std::uint64_t>(ms);
  return (time << kUniqueBits) | this->unique;
}

}  // namespace hawthornwheel::runs
