#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::base {

/// Writes log lines to a file descriptor without ever blocking on its reader.
/// A token bucket limits the rate. Lines that exceed it, and lines that do not
/// fit in the buffer because the reader is slow, are dropped and counted. A
/// line with the number of dropped lines precedes the next line that is
/// written.
class LogSink {
 public:
  /// Rate limit in lines per second, and burst size in lines.
  struct Limits {
    double lines_per_second = 60;
    double burst = 600;
  };

  /// Sets the open file `descriptor` to non-blocking mode. `clock` must outlive
  /// the sink.
  LogSink(const Clock& clock, int descriptor, Limits limits);
  ~LogSink();

  /// Writes one line, preceded by the wall-clock time. Important lines
  /// (warnings and errors) are written even if the rate limit is exceeded, and
  /// flush the buffer; only a full buffer drops them.
  void Write(const std::string& line, bool important);

  /// Writes the buffered lines. Must be called periodically, because Write()
  /// flushes the buffer only after an important line or when the buffer holds
  /// 8 KiB.
  void Flush();

  /// Returns the number of lines dropped so far.
  std::uint64_t Dropped() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::base
