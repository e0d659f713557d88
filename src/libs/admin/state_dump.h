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

/// Returns this process, followed by the processes known to it, as JSON, with
/// the state of this process's configuration.
std::string DumpMembers(const dispatch::Dispatcher& dispatcher);

}  // namespace hawthornwheel::admin
