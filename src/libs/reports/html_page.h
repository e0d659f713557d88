#pragma once

#include <string>

namespace hawthornwheel::reports {

class LogReport;

/// Renders a report as one HTML page without scripts: a bar chart for each kind
/// of event, a table of the jobs by size and, unless `job` is empty, a table of
/// the log lines of that job.
std::string RenderPage(const LogReport& report, const std::string& job);

}  // namespace hawthornwheel::reports
