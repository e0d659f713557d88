#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace hawthornwheel::base {

class LogSink;

/// How grave a log line is.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets the least grave level that is written; kInfo at start.
void SetLogLevel(LogLevel level);

/// Level with the given name ("debug", "info", "warning", "error"); kInfo for
/// any other name.
LogLevel ParseLogLevel(std::string_view name);

/// Line of a message: `level=info part=job msg="Sentence." key=value ...`. The
/// sentence is what stands before the first field.
std::string FormatLogLine(LogLevel level, std::string_view part,
                          std::string_view message);

/// Sends all lines to `sink` from now on; null brings back plain writes to
/// standard output, as short programs want them. `sink` must outlive its use.
void SetLogSink(LogSink* sink);

/// Writes short sentences, each with the fixed prefix of its part of the
/// program. Fields may follow as ` key=value`; a value with spaces stands in
/// quotes.
class Logger {
 public:
  /// `prefix` must outlive the logger; it is a literal in practice.
  explicit constexpr Logger(std::string_view prefix) : prefix(prefix) {}

  template <typename... Args>
  void Debug(fmt::format_string<Args...> format, Args&&... args) const {
    this->Write(LogLevel::kDebug, format, fmt::make_format_args(args...));
  }
  template <typename... Args>
  void Info(fmt::format_string<Args...> format, Args&&... args) const {
    this->Write(LogLevel::kInfo, format, fmt::make_format_args(args...));
  }
  template <typename... Args>
  void Warning(fmt::format_string<Args...> format, Args&&... args) const {
    this->Write(LogLevel::kWarning, format, fmt::make_format_args(args...));
  }
  template <typename... Args>
  void Error(fmt::format_string<Args...> format, Args&&... args) const {
    this->Write(LogLevel::kError, format, fmt::make_format_args(args...));
  }

 private:
  void Write(LogLevel level, fmt::string_view format,
             fmt::format_args args) const;

  std::string_view prefix;
};

}  // namespace hawthornwheel::base
