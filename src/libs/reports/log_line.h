#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornwheel::reports {

/// Holds one parsed line of a process's log.
struct LogLine {
  /// Parses `time_ms=... level=... part=... msg="..." key=value ...`. Returns
  /// nullopt if `time_ms` is not an integer or `part` is missing.
  static std::optional<LogLine> Parse(std::string_view text);

  /// Returns the value of a field, or an empty string if it is absent.
  std::string Field(const std::string& name) const;

  /// Process that wrote the line; set by LogReport::Read().
  std::string process;
  std::int64_t time_ms = 0;
  std::string level;
  std::string part;
  std::string message;
  std::map<std::string, std::string> fields;
};

}  // namespace hawthornwheel::reports
