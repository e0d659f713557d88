#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"

namespace hawthornwheel::base {

/// Writes log lines to standard output without ever waiting for its reader.
/// The volume is bounded by a token bucket; lines beyond it, and lines that
/// the reader does not take, are counted, and the next line that is written
/// tells how many were left out.
class LogSink {
 public:
  /// Lines a second, and lines that may come at once.
  struct Limits {
    double lines_per_second = 60;
    double burst = 600;
  };

  /// `descriptor` must be open; `clock` must outlive the sink.
  LogSink(const Clock& clock, int descriptor, Limits limits);
  ~LogSink();

  /// Writes one line behind the time of day. Lines that `matter` (warnings and
  /// errors, start and stop) do not count against the limit.
  void Write(const std::string& line, bool important);

  /// Writes what is held back. Lines wait for this, for one that matters, or
  /// for some kilobytes of them; it is called now and then.
  void Flush();

  /// Lines left out so far.
  std::uint64_t Dropped() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::base
