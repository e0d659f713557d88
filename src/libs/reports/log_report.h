#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "reports/log_line.h"

namespace hawthornwheel::reports {

/// What the logs of a fleet tell: events a second, and the path of one job.
class LogReport {
 public:
  /// Reads all `*.log` files of a folder; the name of a file names its
  /// process.
  static base::Result<LogReport> Read(const std::string& folder);

  void Add(LogLine line);

  /// Counts of one kind of event by second since the first line.
  struct Series {
    std::string name;
    std::vector<int> counts;
  };

  /// Jobs by their end, then what was lost, each as far as it occurs.
  std::vector<Series> EventsBySecond() const;

  /// Lines about a job or its tasks, in order of time.
  std::vector<LogLine> LinesOfJob(const std::string& job) const;

  std::size_t LineCount() const { return this->lines.size(); }

 private:
  std::vector<LogLine> lines;
};

}  // namespace hawthornwheel::reports
