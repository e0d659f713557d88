#include "dispatch/submission_key.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace hawthornwheel::dispatch {
namespace {

// Maximum length of the home and of the caller part, in bytes.
constexpr std::size_t kMaxPartLength = 128;

bool IsPart(absl::string_view text) {
  if (text.empty() || text.size() > kMaxPartLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

}  // namespace

std::optional<SubmissionKey> SubmissionKey::Parse(std::string_view text) {
  const std::vector<absl::string_view> parts =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '/');
  if (parts.size() != 3) return std::nullopt;
  SubmissionKey key;
  if (!IsPart(parts[0]) || !IsPart(parts[2])) return std::nullopt;
  if (!absl::SimpleAtoi(parts[1], &key.epoch)) return std::nullopt;
  key.home = std::string(parts[0]);
  key.caller_part = std::string(parts[2]);
  return key;
}

std::string SubmissionKey::Format() const {
  return fmt::format("{}/{}/{}", this->home, this->epoch, this->caller_part);
}

}  // namespace hawthornwheel::dispatch
