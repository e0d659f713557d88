#include "base/logger.h"

#include <array>
#include <cstdio>
#include <utility>

#include "base/log_sink.h"

namespace hawthornwheel::base {
namespace {

constexpr std::array<std::pair<LogLevel, std::string_view>, 4> kLevelNames = {{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

LogLevel lowest_level = LogLevel::kInfo;

LogSink* sink = nullptr;

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

std::string FormatLogLine(LogLevel level, std::string_view part,
                          std::string_view message) {
  const std::size_t equals = message.find('=');
  const std::size_t field = equals == std::string_view::npos
                                ? std::string_view::npos
                                : message.rfind(' ', equals);
  const std::string_view sentence = message.substr(0, field);
  const std::string_view fields =
      field == std::string_view::npos ? "" : message.substr(field);
  return fmt::format("level={} part={} msg=\"{}\"{}", NameOf(level), part,
                     sentence, fields);
}

void SetLogSink(LogSink* new_sink) { sink = new_sink; }

void Logger::Write(LogLevel level, fmt::string_view format,
                   fmt::format_args args) const {
  if (level < lowest_level) return;
  const std::string line =
      FormatLogLine(level, this->part, fmt::vformat(format, args));
  if (sink == nullptr) {
    fmt::print("{}\n", line);
    std::fflush(stdout);
    return;
  }
  sink->Write(line, level >= LogLevel::kWarning);
}

}  // namespace hawthornwheel::base
