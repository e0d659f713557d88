#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornwheel::runs {

/// Generates fencing tokens. From the high to the low bits, a token holds the
/// wall time of the claim, so that a later claim is higher without
/// coordination; an 8-bit hash of the incarnation, which usually differs
/// between processes that claim within the same 16 ms; and the number of the
/// recheck within the claim. A recheck raises the token so that the endpoint
/// rejects starts sent before. It changes only the low bits, so it never
/// exceeds a higher claim of another process.
class FencingTokenGenerator {
 public:
  /// `incarnation` identifies this run of the process.
  explicit FencingTokenGenerator(const std::string& incarnation);

  /// Returns the token of a claim at `wall_ms`, in Unix milliseconds, or at the
  /// first later time whose token is above `floor`.
  std::uint64_t NextClaim(std::int64_t wall_ms, std::uint64_t floor) const;

  /// Returns the next token within the claim of `token`, or none when the
  /// rechecks of that claim are exhausted.
  std::optional<std::uint64_t> NextRecheck(std::uint64_t token) const;

  /// Returns the token of a claim at least `ms` milliseconds after that of
  /// `token`.
  std::uint64_t Raise(std::uint64_t token, std::int64_t ms) const;

 private:
  /// Low bits of a hash of the incarnation.
  std::uint64_t incarnation_hash = 0;
};

}  // namespace hawthornwheel::runs
