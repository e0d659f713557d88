#include "reports/log_report.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

namespace hawthornwheel::reports {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1'000;

// Returns the name of the series that counts a line, or an empty string if none
// does.
std::string SeriesNameOf(const LogLine& line) {
  if (line.message == "Job ended.") return "jobs " + line.Field("end");
  if (line.message == "Member is lost.") return "members lost";
  if (line.message == "Store is lost.") return "store lost";
  if (line.message == "Run is overdue.") return "runs overdue";
  if (line.message == "Session state." &&
      line.Field("state") == "unreachable") {
    return "endpoints unreachable";
  }
  if (line.message == "Lines were left out.") return "log lines left out";
  return "";
}

bool IsAboutJob(const LogLine& line, const std::string& job) {
  return line.Field("job") == job ||
         line.Field("task").rfind(job + ".", 0) == 0;
}

}  // namespace

base::Result<LogReport> LogReport::Read(const std::string& folder) {
  std::error_code error;
  LogReport report;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (entry.path().extension() != ".log") continue;
    std::ifstream file(entry.path());
    std::string text;
    while (std::getline(file, text)) {
      auto line = LogLine::Parse(text);
      if (!line) continue;
      line->process = entry.path().stem().string();
      report.Add(*std::move(line));
    }
  }
  if (error) {
    return base::Error(base::ErrorKind::kInvalidRequest,
                       folder + ": " + error.message());
  }
  return report;
}

void LogReport::Add(LogLine line) { this->lines.push_back(std::move(line)); }

std::vector<LogReport::Series> LogReport::EventsBySecond() const {
  if (this->lines.empty()) return {};
  const auto by_time = [](const LogLine& a, const LogLine& b) {
    return a.time_ms < b.time_ms;
  };
  const auto [first, last] =
      std::minmax_element(this->lines.begin(), this->lines.end(), by_time);
  const auto seconds = static_cast<std::size_t>(
      (last->time_ms - first->time_ms) / kMillisecondsPerSecond + 1);
  std::map<std::string, std::vector<int>> counts;
  for (const LogLine& line : this->lines) {
    const std::string name = SeriesNameOf(line);
    if (name.empty()) continue;
    std::vector<int>& series = counts[name];
    series.resize(seconds);
    ++series[static_cast<std::size_t>((line.time_ms - first->time_ms) /
                                      kMillisecondsPerSecond)];
  }
  std::vector<Series> all;
  all.reserve(counts.size());
  for (auto& [name, series] : counts) all.push_back({name, std::move(series)});
  return all;
}

std::vector<LogLine> LogReport::LinesOfJob(const std::string& job) const {
  std::vector<LogLine> job_lines;
  std::copy_if(this->lines.begin(), this->lines.end(),
               std::back_inserter(job_lines),
               [&job](const LogLine& line) { return IsAboutJob(line, job); });
  std::stable_sort(
      job_lines.begin(), job_lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time_ms < b.time_ms; });
  return job_lines;
}

}  // namespace hawthornwheel::reports
