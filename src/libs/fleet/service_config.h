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

/// Endpoint as a service file names it.
struct EndpointSpec {
  /// `IP:port`.
  std::string address;
  std::string domain;
};

/// Settings of one service, read from its service file.
struct ServiceConfig {
  std::string name;
  std::string team;
  /// Endpoints that the file lists.
  std::vector<EndpointSpec> endpoints;
  /// Group of the list of VMs whose members serve too; may be empty.
  std::string selector_group;
  std::uint16_t selector_port = 0;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::set<Urgency> urgencies;
  /// Whether tasks that do not say so are idempotent.
  bool idempotent = false;
  /// Share of the service among the services of its team.
  double weight = 1;
  /// Share of the team among all teams.
  double team_weight = 1;
  std::uint32_t max_queued_tasks = 0;
  /// Most tasks in flight per process; 0 means no limit.
  std::uint32_t max_running_tasks = 0;
  std::uint64_t max_payload_bytes = 0;
  base::Duration task_timeout{0};
  base::Duration lease{0};
  /// Refusals after which a task is not tried again.
  std::uint32_t max_refusals = 0;
  /// Retries allowed as a share of starts.
  double retry_budget = 0;
};

/// Outcome of reading a service file: a configuration, or every fault.
struct ServiceConfigResult {
  std::shared_ptr<const ServiceConfig> config;
  std::vector<base::IniFault> faults;
};

/// Reads and checks the text of a service file.
ServiceConfigResult ReadServiceConfig(const std::string& file_name,
                                      std::string_view text);

}  // namespace hawthornwheel::fleet
