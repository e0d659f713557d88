#pragma once

#include <string>
#include <vector>

#include "base/ini_file.h"
#include "http/connection_limits.h"
#include "jobs/job_settings.h"
#include "runs/run_settings.h"

namespace hawthornwheel::node {

/// Holds all settings of one process on the users' platform.
struct PlatformNodeSettings {
  /// Holds the result of reading a settings file.
  struct Reading;

  /// Reads and checks the text of a settings file. `file_name` is used in the
  /// faults only.
  static Reading Read(const std::string& file_name, std::string_view text);

  /// Returns whether an address that this process listens on or advertises to
  /// peers differs from that in `other`.
  bool AddressesDifferFrom(const PlatformNodeSettings& other) const;

  /// Prefix of the incarnation id.
  std::string name;
  /// Failure domain.
  std::string domain;
  /// Relative weight, in hundredths of a core. Determines this process's role
  /// and its share of the domain's endpoints.
  std::uint32_t weight = 1;
  std::string log_level;
  /// `IP:port` for peers.
  std::string peer_address;
  /// `IP:port` that is advertised to peers. Differs from `peer_address` behind
  /// a forwarder.
  std::string advertised_address;
  /// `IP:port` for callers.
  std::string caller_address;
  http::ConnectionLimits caller_connections;
  /// `IP:port` for readiness checks of the platform's load balancer.
  std::string ready_address;
  /// `IP:port` for metrics and state dumps; empty for none.
  std::string metrics_address;
  /// `IP:port` of the platform's log store.
  std::string store_address;
  /// Peer addresses, `IP:port`, of processes that may be running.
  std::vector<std::string> seeds;
  /// Maximum duration of the drain.
  base::Duration drain_time{6'000'000};
  /// Offset added to the wall clock. Tests use it to simulate wrong clocks.
  base::Duration wall_clock_offset{0};
  runs::RunSettings runs;
  jobs::JobSettings jobs;
};

struct PlatformNodeSettings::Reading {
  PlatformNodeSettings settings;
  /// All faults. The settings are valid only when there are none.
  std::vector<base::IniFault> faults;
};

}  // namespace hawthornwheel::node
