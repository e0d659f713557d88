#pragma once

#include <string>

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::dispatch {
class Dispatcher;
}

namespace hawthornwheel::admin {

/// Whole state of a process as JSON, for operators.
std::string DumpState(const dispatch::Dispatcher& dispatcher,
                      const base::Metrics& metrics);

/// Counters and distributions as JSON.
std::string DumpMetrics(const base::Metrics& metrics);

/// Processes that this one knows, itself first, as JSON.
std::string DumpMembers(const dispatch::Dispatcher& dispatcher);

}  // namespace hawthornwheel::admin
