#include "reports/log_line.h"

#include "absl/strings/numbers.h"

namespace hawthornwheel::reports {
namespace {

// Removes `key=value` or `key="value with spaces"` from the front of `rest`.
// Returns false if no field is left.
bool ParseField(std::string_view& rest, std::string* key, std::string* value) {
  while (!rest.empty() && rest.front() == ' ') rest.remove_prefix(1);
  const std::size_t equals = rest.find('=');
  if (equals == std::string_view::npos) return false;
  *key = std::string(rest.substr(0, equals));
  rest.remove_prefix(equals + 1);
  const bool quoted = !rest.empty() && rest.front() == '"';
  if (quoted) rest.remove_prefix(1);
  const std::size_t end = rest.find(quoted ? '"' : ' ');
  *value = std::string(rest.substr(0, end));
  rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  return true;
}

}  // namespace

std::optional<LogLine> LogLine::Parse(std::string_view text) {
  LogLine line;
  std::string key;
  std::string value;
  while (ParseField(text, &key, &value)) line.fields[key] = value;
  if (!absl::SimpleAtoi(line.Field("time_ms"), &line.time_ms)) {
    return std::nullopt;
  }
  line.level = line.Field("level");
  line.part = line.Field("part");
  line.message = line.Field("msg");
  if (line.part.empty()) return std::nullopt;
  return line;
}

std::string LogLine::Field(const std::string& name) const {
  const auto found = this->fields.find(name);
  return found == this->fields.end() ? "" : found->second;
}

}  // namespace hawthornwheel::reports
