#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornwheel::dispatch {

/// Names one submission: `home/epoch/caller part`. The home is the one process
/// incarnation that may start the job; the epoch is a span of its time.
struct SubmissionKey {
  std::string home;
  std::uint64_t epoch = 0;
  std::string caller_part;

  /// Reads a key; empty when the text is not of the form above.
  static std::optional<SubmissionKey> Parse(std::string_view text);

  /// Text of the key.
  std::string Format() const;
};

}  // namespace hawthornwheel::dispatch
