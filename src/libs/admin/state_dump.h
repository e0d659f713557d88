#pragma once

#include <string>

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::dispatch {
class Dispatcher;
}

namespace hawthornwheel::admin {

/// Returns the state of a process as JSON, for operators: its identity, the
/// configuration, members, endpoints, services, jobs and metrics.
std::string DumpState(const dispatch::Dispatcher& dispatcher,
                      const base::Metrics& metrics);

/// Returns the counters and distributions as JSON.
std::string DumpMetrics(const base::Metrics& metrics);

/// Returns the processes known to this one, itself first, as JSON, with the
/// state of its configuration.
std::string DumpMembers(const dispatch::Dispatcher& dispatcher);

}  // namespace hawthornwheel::admin
