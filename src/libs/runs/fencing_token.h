#pragma once

#include <cstdint>
#include <string>

namespace hawthornwheel::runs {

/// Makes fencing tokens that no two processes share: wall time in
/// milliseconds in the high bits, so that a later owner gets a higher one
/// without asking anybody, and a hash of the incarnation in the low bits.
class FencingToken {
 public:
  /// `incarnation` names this run of the process.
  explicit FencingToken(const std::string& incarnation);

  /// Token at `wall_ms` that is above `floor`.
  std::uint64_t Next(std::int64_t wall_ms, std::uint64_t floor) const;

  /// Token at least `ms` milliseconds above `token`.
  std::uint64_t Raise(std::uint64_t token, std::int64_t ms) const;

 private:
  std::uint64_t unique = 0;
};

}  // namespace hawthornwheel::runs
