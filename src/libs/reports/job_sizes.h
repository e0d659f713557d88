#pragma once

#include <map>
#include <string>
#include <vector>

#include "reports/log_line.h"

namespace hawthornwheel::reports {

/// Outcomes of the jobs of one route whose size is in one range. The size of a
/// job is its declared work: tasks, times CPU, times estimated run time.
struct JobSizeRow {
  std::string route;
  /// Name of the range: "largest tenth", "next fifth", "others" or "all".
  std::string range;
  int offered = 0;
  /// Complete jobs, and those of them that missed their latency objective.
  int complete = 0;
  int late = 0;
  /// Jobs whose last task was placed after the time within which the first one
  /// had to be placed.
  int placed_late = 0;
  /// Jobs that ended otherwise, by outcome and cause.
  std::map<std::string, int> unserved;
  /// Jobs that ended otherwise, although their longest task, as far as it was
  /// seen, needed less time than their callers waited: those whose time limit
  /// was shorter than that task, and those whose time limit was not.
  int cut_by_limit = 0;
  int cut_within_limit = 0;
  /// Means over the rejected jobs: age in milliseconds, and free capacity in
  /// tasks of the job, at all endpoints and at those that would run them in
  /// time.
  double rejected_age_ms = 0;
  double rejected_room = 0;
  double rejected_room_in_time = 0;
};

/// Returns four rows for each route, from the lines "Job ended." in `lines`,
/// ordered by route. Lines without a size are skipped.
std::vector<JobSizeRow> CountJobsBySize(const std::vector<LogLine>& lines);

}  // namespace hawthornwheel::reports
