#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornwheel::runs {

/// Makes fencing tokens that no two processes share. From the high bits down:
/// the wall time of the claim, so that a later claim is higher without asking
/// anybody; a hash of the incarnation; and the number of the recheck within
/// the claim. Rechecks so never outrank the claim of another process.
class FencingToken {
 public:
  /// `incarnation` names this run of the process.
  explicit FencingToken(const std::string& incarnation);

  /// Token of a claim at `wall_ms` that is above `floor`.
  std::uint64_t Next(std::int64_t wall_ms, std::uint64_t floor) const;

  /// Next token within the claim of `token`; none when they have run out.
  std::optional<std::uint64_t> Recheck(std::uint64_t token) const;

  /// Token of a claim at least `ms` milliseconds above `token`.
  std::uint64_t Raise(std::uint64_t token, std::int64_t ms) const;

 private:
  std::uint64_t unique = 0;
};

}  // namespace hawthornwheel::runs
