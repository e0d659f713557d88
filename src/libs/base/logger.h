#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace hawthornwheel::base {

class LogSink;

/// Severity of a log line, in ascending order.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets the lowest level that is written; kInfo by default.
void SetLogLevel(LogLevel level);

/// Returns the level with the given name ("debug", "info", "warning", "error"),
/// or kInfo for any other name.
LogLevel ParseLogLevel(std::string_view name);

/// Formats a message as `level=info part=job msg="Sentence." key=value ...`.
/// The sentence is the text before the first field.
std::string FormatLogLine(LogLevel level, std::string_view part,
                          std::string_view message);

/// Redirects all lines to `sink`, which must outlive its use. Null restores
/// direct writes to standard output, which suit short-lived programs.
void SetLogSink(LogSink* sink);

/// Writes log lines for one part of the program. A message is a short sentence,
/// optionally followed by fields as ` key=value`. A value that contains spaces
/// must be quoted.
class Logger {
 public:
  /// `part` is the name of the part of the program. It must outlive the logger
  /// and is usually a literal.
  explicit constexpr Logger(std::string_view part) : part(part) {}

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

  std::string_view part;
};

}  // namespace hawthornwheel::base
