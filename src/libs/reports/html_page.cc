#include "reports/html_page.h"

#include <fmt/format.h>

#include <algorithm>

#include "absl/strings/str_replace.h"
#include "reports/log_report.h"

namespace hawthornwheel::reports {
namespace {

// Chart size in pixels.
constexpr int kChartWidth = 900;
constexpr int kChartHeight = 70;

std::string Escape(const std::string& text) {
  return absl::StrReplaceAll(
      text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

std::string RenderChart(const LogReport::Series& series) {
  const int max_count = std::max(
      1, *std::max_element(series.counts.begin(), series.counts.end()));
  const double width =
      static_cast<double>(kChartWidth) /
      static_cast<double>(std::max<std::size_t>(series.counts.size(), 1));
  std::string bars;
  for (std::size_t i = 0; i < series.counts.size(); ++i) {
    if (series.counts[i] == 0) continue;
    const double height =
        static_cast<double>(kChartHeight) * series.counts[i] / max_count;
    bars += fmt::format(
        "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}'>"
        "<title>second {}: {}</title></rect>",
        static_cast<double>(i) * width, kChartHeight - height,
        std::max(width - 1, 0.5), height, i, series.counts[i]);
  }
  return fmt::format(
      "<h2>{}</h2><p>at most {} a second, {} s</p>"
      "<svg width='{}' height='{}' fill='#2a6f97'>"
      "<line x1='0' x2='{}' y1='{}' y2='{}' stroke='#999'/>{}</svg>\n",
      Escape(series.name), max_count, series.counts.size(), kChartWidth,
      kChartHeight, kChartWidth, kChartHeight, kChartHeight, bars);
}

std::string RenderSizes(const std::vector<JobSizeRow>& sizes) {
  if (sizes.empty()) return "";
  std::string rows;
  for (const JobSizeRow& row : sizes) {
    std::string unserved;
    for (const auto& [cause, count] : row.unserved) {
      unserved += fmt::format("{} {}; ", count, cause);
    }
    rows += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
        "<td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
        "<td>{:.0f}</td><td>{:.1f}</td><td>{:.1f}</td>"
        "</tr>\n",
        Escape(row.route), row.range, row.offered, row.complete, row.late,
        row.placed_late, Escape(unserved), row.cut_by_limit,
        row.cut_within_limit, row.rejected_age_ms, row.rejected_room,
        row.rejected_room_in_time);
  }
  return fmt::format(
      "<h2>Jobs by declared work</h2><p>Free room is counted in tasks of the "
      "job.</p><table><tr><th>route</th><th>size</th><th>offered</th>"
      "<th>complete</th><th>of these late</th><th>placed late</th>"
      "<th>not served</th><th>cut by their limit</th>"
      "<th>cut within their limit</th><th>mean age of the rejected, ms</th>"
      "<th>room then</th><th>room in time then</th></tr>\n{}</table>\n",
      rows);
}

std::string RenderJob(const LogReport& report, const std::string& job) {
  const std::vector<LogLine> lines = report.LinesOfJob(job);
  std::string rows;
  for (const LogLine& line : lines) {
    std::string fields;
    for (const auto& [key, value] : line.fields) {
      if (key == "time_ms" || key == "level" || key == "part" || key == "msg") {
        continue;
      }
      fields += fmt::format("{}={} ", key, value);
    }
    rows += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
        line.time_ms - lines.front().time_ms, Escape(line.process),
        Escape(line.part), Escape(line.message), Escape(fields));
  }
  return fmt::format(
      "<h2>Job {}</h2><p>{} lines</p><table><tr><th>ms</th><th>process</th>"
      "<th>part</th><th>message</th><th>fields</th></tr>\n{}</table>\n",
      Escape(job), lines.size(), rows);
}

}  // namespace

std::string RenderPage(const LogReport& report, const std::string& job) {
  std::string body;
  for (const LogReport::Series& series : report.EventsBySecond()) {
    body += RenderChart(series);
  }
  body += RenderSizes(report.JobsBySize());
  if (!job.empty()) body += RenderJob(report, job);
  return fmt::format(
      "<!doctype html><html><head><meta charset='utf-8'>"
      "<title>hawthornwheel report</title><style>body{{font-family:sans-serif;"
      "margin:2em}}h2{{font-size:1em;margin:1em 0 0}}p{{margin:0;color:#666}}"
      "table{{font-size:.8em;border-collapse:collapse}}td{{padding:0 .6em;"
      "border-top:1px solid #ddd}}</style></head><body>"
      "<h1>hawthornwheel report</h1><p>{} log lines</p>\n{}</body></html>\n",
      report.LineCount(), body);
}

}  // namespace hawthornwheel::reports
