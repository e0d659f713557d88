#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornwheel::base {

/// Length limit for foreign text in messages and logs.
inline constexpr std::size_t kMaxExcerptLength = 120;

/// Returns the start of `text`, which comes from outside, for a message or a
/// log line: printable ASCII, with other bytes as `\xNN`, and `...` at the end
/// when more than `max_length` characters would be needed.
std::string Excerpt(std::string_view text,
                    std::size_t max_length = kMaxExcerptLength);

}  // namespace hawthornwheel::base
