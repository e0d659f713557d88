#pragma once

#include <string>

namespace hawthornwheel::reports {

class LogReport;

/// Draws a report as one HTML page without scripts: a bar chart for each kind
/// of event, and the path of `job` unless it is empty.
std::string RenderPage(const LogReport& report, const std::string& job);

}  // namespace hawthornwheel::reports
