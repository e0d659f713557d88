#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "reports/job_sizes.h"
#include "reports/log_line.h"

namespace hawthornwheel::reports {

/// Evaluates the logs of a fleet: counts events per second and jobs by size,
/// and collects the log lines of a job.
class LogReport {
 public:
  /// Reads all `*.log` files of a folder. The file name without its extension
  /// is the name of the process. Skips text that is not a log line. Returns
  /// kInvalidRequest if the folder cannot be read.
  static base::Result<LogReport> Read(const std::string& folder);

  /// Adds one line to the report.
  void Add(LogLine line);

  /// Holds the counts of one kind of event for each second since the earliest
  /// line.
  struct Series {
    std::string name;
    std::vector<int> counts;
  };

  /// Returns one series per kind of event that occurs, in alphabetical order:
  /// ended jobs by outcome, lost members and stores, overdue runs, unreachable
  /// endpoints, and dropped log lines.
  std::vector<Series> EventsBySecond() const;

  /// Returns the lines about a job or its tasks, ordered by time.
  std::vector<LogLine> LinesOfJob(const std::string& job) const;

  /// Returns the outcomes of jobs by route and size; see CountJobsBySize().
  std::vector<JobSizeRow> JobsBySize() const {
    return CountJobsBySize(this->lines);
  }

  std::size_t LineCount() const { return this->lines.size(); }

 private:
  std::vector<LogLine> lines;
};

}  // namespace hawthornwheel::reports
