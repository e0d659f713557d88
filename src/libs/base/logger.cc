#include "base/logger.h"

#include <array>
#include <cstdio>
#include <utility>

namespace hawthornwheel::base {
namespace {

constexpr std::array<std::pair<LogLevel, std::string_view>, 4> kLevelNames = {{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

LogLevel lowest_level = LogLevel::kInfo;

std::string_view NameOf(LogLevel level) {
  return kLevelNames[static_cast<std::size_t>(level)].second;
}

}  // namespace

void SetLogLevel(LogLevel level) { lowest_level = level; }

LogLevel ParseLogLevel(std::string_view name) {
  for (const auto& [level, level_name] : kLevelNames) {
    if (level_name == name) return level;
  }
  return LogLevel::kInfo;
}

void Logger::Write(LogLevel level, fmt::string_view format,
                   fmt::format_args args) const {
  if (level < lowest_level) return;
  fmt::print(stderr, "{} {}: {}\n", NameOf(level), this->prefix,
             fmt::vformat(format, args));
}

}  // namespace hawthornwheel::base
