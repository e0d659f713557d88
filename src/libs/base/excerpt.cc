#include "base/excerpt.h"

#include <fmt/format.h>

namespace hawthornwheel::base {
namespace {

bool IsPrintable(char c) { return c >= ' ' && c <= '~'; }

}  // namespace

std::string Excerpt(std::string_view text, std::size_t max_length) {
  std::string excerpt;
  for (const char c : text) {
    const std::string shown =
        IsPrintable(c)
            ? std::string(1, c)
            : fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    if (excerpt.size() + shown.size() > max_length) return excerpt + "...";
    excerpt += shown;
  }
  return excerpt;
}

}  // namespace hawthornwheel::base
