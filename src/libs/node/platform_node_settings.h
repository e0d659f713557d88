#pragma once

#include <string>
#include <vector>

#include "base/ini_file.h"
#include "jobs/job_settings.h"
#include "runs/run_settings.h"

namespace hawthornwheel::node {

/// Settings of a process that serves on the users' platform.
struct PlatformNodeSettings {
  /// Outcome of reading a settings file.
  struct Reading;

  /// Reads and checks a settings file.
  static Reading Read(const std::string& file_name, std::string_view text);

  /// Whether an address that is listened on or told to peers differs.
  bool AddressesDifferFrom(const PlatformNodeSettings& other) const;

  /// Name in the incarnation.
  std::string name;
  std::string domain;
  /// Share of the domain's endpoints that this process takes.
  std::uint32_t weight = 1;
  std::string log_level;
  /// `IP:port` for peers, for callers, and for the platform's balancer.
  std::string peer_address;
  /// Address that peers are told; differs from `peer_address` behind a
  /// forwarder.
  std::string advertised_address;
  std::string caller_address;
  std::string ready_address;
  /// `IP:port` for metrics and dumps; empty for none.
  std::string metrics_address;
  /// `IP:port` of the platform's store.
  std::string store_address;
  /// Peer addresses of processes that may be up.
  std::vector<std::string> seeds;
  /// How long a planned stop may take.
  base::Duration drain_time{6'000'000};
  /// Added to the time of day; for tests with clocks that are off.
  base::Duration wall_clock_offset{0};
  runs::RunSettings runs;
  jobs::JobSettings jobs;
};

struct PlatformNodeSettings::Reading {
  PlatformNodeSettings settings;
  /// Every fault; the settings hold only when there is none.
  std::vector<base::IniFault> faults;
};

}  // namespace hawthornwheel::node
