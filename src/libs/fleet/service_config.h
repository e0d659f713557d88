#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ini_file.h"
#include "fleet/urgency.h"

namespace hawthornwheel::fleet {

/// Endpoint from a service file, or from the VM list by a selector.
struct EndpointSpec {
  /// `IP:port`.
  std::string address;
  /// Failure domain.
  std::string domain;
};

/// Holds the settings of one service from its service file.
struct ServiceConfig {
  std::string name;
  /// Organisation that the service belongs to; `team` in the service file.
  std::string organisation;
  /// Endpoints listed in the file.
  std::vector<EndpointSpec> endpoints;
  /// Group in the platform's VM list whose VMs are endpoints too; empty for
  /// none.
  std::string selector_group;
  /// Port of the endpoints on the selected VMs.
  std::uint16_t selector_port = 0;
  /// Number of concurrent tasks per endpoint.
  std::uint32_t slots = 8;
  /// Maximum number of connections per endpoint; above `slots`, because one is
  /// reserved for control messages.
  std::uint32_t connections = 64;
  /// Urgency classes that the service accepts.
  std::set<Urgency> urgencies;
  /// Whether all tasks are idempotent, also those not marked so in the request.
  bool idempotent = false;
  /// Relative weight of the service among the services of its organisation.
  double weight = 1;
  /// Relative weight of the organisation among all organisations.
  double organisation_weight = 1;
  /// Maximum number of queued tasks per process and urgency class.
  std::uint32_t max_queued_tasks = 0;
  /// Maximum number of tasks in flight per process; 0 means no limit.
  std::uint32_t max_running_tasks = 0;
  std::uint64_t max_payload_bytes = 0;
  base::Duration task_timeout{0};
  base::Duration lease{0};
  /// Maximum number of refused or unsent attempts of a task; one more fails the
  /// job.
  std::uint32_t max_refusals = 0;
  /// Allowed retries as a share of started attempts, from 0 to 1.
  double retry_budget = 0;
};

/// Result of reading a service file: the configuration, or null and all faults.
struct ServiceConfigResult {
  std::shared_ptr<const ServiceConfig> config;
  std::vector<base::IniFault> faults;
};

/// Parses and validates the text of a service file. `file_name` is used in the
/// faults.
ServiceConfigResult ReadServiceConfig(const std::string& file_name,
                                      std::string_view text);

}  // namespace hawthornwheel::fleet
