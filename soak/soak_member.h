#pragma once

#include <memory>
#include <string>

#include "soak/child_process.h"
#include "soak/tcp_proxy.h"

namespace hawthornwheel::soak {

/// One dispatcher of a soak, its addresses, and the proxies around it.
struct SoakMember {
  explicit SoakMember(base::Clock& clock)
      : peer_proxy(clock), store_proxy(clock) {}

  std::string name;
  std::string domain;
  /// Share of a core in its settings; decides its role.
  double cpu_share = 0;
  std::string settings_file;
  std::string log_file;
  std::string peer_address;
  std::string caller_address;
  std::string ready_address;
  std::string metrics_address;
  std::string advertised_address;
  std::string store_address;
  /// How far its time of day is off.
  int wall_offset_ms = 0;
  /// What others send to this process passes through here.
  TcpProxy peer_proxy;
  /// Its way to the store.
  TcpProxy store_proxy;
  std::unique_ptr<ChildProcess> process;
  bool paused = false;
  /// Set while it was told to stop and has not ended.
  bool stopping = false;
};

}  // namespace hawthornwheel::soak
