#include "reports/log_report.h"

#include <gtest/gtest.h>

#include <string>

#include "base/logger.h"
#include "reports/html_page.h"

namespace hawthornwheel::testing {
namespace {

using reports::LogLine;
using reports::LogReport;

LogLine Line(const std::string& text) {
  const auto line = LogLine::Parse(text);
  EXPECT_TRUE(line.has_value()) << text;
  return line.value_or(LogLine{});
}

LogReport ReportOfTwoJobs() {
  LogReport report;
  for (const char* text : {
           "time_ms=3000 level=info part=job msg=\"Job ended.\" job=ab "
           "end=rejected cause=\"no room in time\"",
           "time_ms=1000 level=info part=endpoint msg=\"Run is overdue.\" "
           "task=ab.0.0.1 run=1",
           "time_ms=3100 level=info part=job msg=\"Job ended.\" job=cd "
           "end=rejected",
       }) {
    report.Add(Line(text));
  }
  return report;
}

TEST(LogLineTest, ParsesLoggerOutput) {
  const std::string text =
      "time_ms=17 " +
      base::FormatLogLine(base::LogLevel::kWarning, "job",
                          "Job ended. job=1 cause=\"no room\" age_ms=3");
  const LogLine line = Line(text);
  EXPECT_EQ(line.time_ms, 17);
  EXPECT_EQ(line.level, "warning");
  EXPECT_EQ(line.part, "job");
  EXPECT_EQ(line.message, "Job ended.");
  EXPECT_EQ(line.Field("cause"), "no room");
  EXPECT_EQ(line.Field("age_ms"), "3");
}

TEST(LogLineTest, OtherTextIsRejected) {
  for (const char* text : {"", "terminate called", "time_ms=x part=job",
                           "level=info part=job", "time_ms=1 level=info"}) {
    EXPECT_FALSE(LogLine::Parse(text).has_value()) << text;
  }
}

TEST(LogReportTest, EventsAreCountedPerSecondSinceEarliestLine) {
  const auto series = ReportOfTwoJobs().EventsBySecond();
  ASSERT_EQ(series.size(), 2U);
  EXPECT_EQ(series[0].name, "jobs rejected");
  EXPECT_EQ(series[0].counts, (std::vector<int>{0, 0, 2}));
  EXPECT_EQ(series[1].name, "runs overdue");
}

TEST(LogReportTest, LinesOfJobIncludeItsTasksInTimeOrder) {
  const auto lines = ReportOfTwoJobs().LinesOfJob("ab");
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0].message, "Run is overdue.");
  EXPECT_EQ(lines[1].message, "Job ended.");
}

TEST(LogReportTest, MissingFolderIsAnError) {
  EXPECT_FALSE(LogReport::Read("/nonexistent").HasValue());
}

TEST(HtmlPageTest, LogTextIsEscaped) {
  LogReport report;
  report.Add(Line("time_ms=1 level=info part=job msg=\"<b>\" job=ab"));
  const std::string page = reports::RenderPage(report, "ab");
  EXPECT_NE(page.find("&lt;b&gt;"), std::string::npos);
  EXPECT_EQ(page.find("<b>"), std::string::npos);
}

}  // namespace
}  // namespace hawthornwheel::testing
