#include "reports/job_sizes.h"

#include <algorithm>
#include <cstddef>
#include <span>
#include <utility>

#include "absl/strings/numbers.h"

namespace hawthornwheel::reports {
namespace {

// Ranges of sizes, as shares of the jobs of a route, largest first.
constexpr double kLargestShare = 0.1;
constexpr double kNextShare = 0.2;

struct SizedJob {
  double size = 0;
  const LogLine* line = nullptr;
};

double NumberOf(const LogLine& line, const std::string& field) {
  double value = 0;
  return absl::SimpleAtod(line.Field(field), &value) ? value : 0;
}

double SizeOf(const LogLine& line) {
  return NumberOf(line, "tasks") * NumberOf(line, "cpu_milli") *
         NumberOf(line, "estimate_ms");
}

JobSizeRow CountRange(const std::string& route, const std::string& range,
                      std::span<const SizedJob> jobs) {
  JobSizeRow row;
  row.route = route;
  row.range = range;
  int rejected = 0;
  for (const SizedJob& job : jobs) {
    const LogLine& line = *job.line;
    ++row.offered;
    if (NumberOf(line, "last_placed_ms") > NumberOf(line, "wait_limit_ms"))
      ++row.placed_late;
    const std::string end = line.Field("end");
    if (end == "complete") {
      ++row.complete;
      if (line.Field("late") == "true") ++row.late;
      continue;
    }
    ++row.unserved[end + ": " + line.Field("cause")];
    const double needed_ms = NumberOf(line, "needed_ms");
    const double limit_ms = NumberOf(line, "time_limit_ms");
    const double awaited_ms =
        std::max(limit_ms, NumberOf(line, "caller_wait_ms"));
    if (needed_ms > 0 && needed_ms < awaited_ms)
      ++(needed_ms < limit_ms ? row.cut_within_limit : row.cut_by_limit);
    if (end != "rejected") continue;
    ++rejected;
    row.rejected_age_ms += NumberOf(line, "age_ms");
    row.rejected_room += NumberOf(line, "room");
    row.rejected_room_in_time += NumberOf(line, "room_in_time");
  }
  if (rejected > 0) {
    row.rejected_age_ms /= rejected;
    row.rejected_room /= rejected;
    row.rejected_room_in_time /= rejected;
  }
  return row;
}

}  // namespace

std::vector<JobSizeRow> CountJobsBySize(const std::vector<LogLine>& lines) {
  std::map<std::string, std::vector<SizedJob>> jobs_by_route;
  for (const LogLine& line : lines) {
    if (line.message != "Job ended." || SizeOf(line) <= 0) continue;
    jobs_by_route[line.Field("route")].push_back({SizeOf(line), &line});
  }
  std::vector<JobSizeRow> rows;
  for (auto& [route, jobs] : jobs_by_route) {
    std::stable_sort(
        jobs.begin(), jobs.end(),
        [](const SizedJob& a, const SizedJob& b) { return a.size > b.size; });
    const std::span<const SizedJob> all(jobs);
    const auto count = static_cast<double>(jobs.size());
    const auto largest = static_cast<std::size_t>(count * kLargestShare);
    const auto next = static_cast<std::size_t>(count * kNextShare);
    rows.push_back(CountRange(route, "largest tenth", all.first(largest)));
    rows.push_back(CountRange(route, "next fifth", all.subspan(largest, next)));
    rows.push_back(CountRange(route, "others", all.subspan(largest + next)));
    rows.push_back(CountRange(route, "all", all));
  }
  return rows;
}

}  // namespace hawthornwheel::reports
