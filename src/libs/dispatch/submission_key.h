#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornwheel::dispatch {

/// Identifies one submission. Its text is `home/epoch/caller part`. The home is
/// the only process incarnation that may start the job. The epoch is the number
/// of a time span of that incarnation.
struct SubmissionKey {
  std::string home;
  std::uint64_t epoch = 0;
  std::string caller_part;

  /// Parses a key; returns nothing when the text does not have the form above.
  static std::optional<SubmissionKey> Parse(std::string_view text);

  /// Returns the text of the key.
  std::string Format() const;
};

}  // namespace hawthornwheel::dispatch
