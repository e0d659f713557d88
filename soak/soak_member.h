#pragma once

#include <memory>
#include <string>
#include <utility>

#include "soak/child_process.h"
#include "soak/remote_proxy.h"
#include "soak/tcp_proxy.h"

namespace hawthornwheel::soak {

/// Holds one dispatcher process of a soak run, its addresses, and the proxies
/// between it and the other processes.
struct SoakMember {
  SoakMember(base::Clock& clock, SocketSet& sockets,
             std::shared_ptr<ProxyHost> host)
      : peer_proxy(std::move(host)), store_proxy(clock, sockets) {}

  std::string name;
  std::string domain;
  /// Share of a core in its settings; determines its role.
  double cpu_share = 0;
  std::string settings_file;
  std::string log_file;
  /// Address that the process listens on for its peers.
  std::string peer_address;
  std::string caller_address;
  std::string ready_address;
  std::string metrics_address;
  /// Address of `peer_proxy`, which the process advertises to its peers.
  std::string advertised_address;
  /// Address of `store_proxy`.
  std::string store_address;
  /// Offset of its wall clock.
  int wall_offset_ms = 0;
  /// Forwards what peers send to this process.
  RemoteProxy peer_proxy;
  /// Forwards the requests of this process to the store.
  TcpProxy store_proxy;
  std::unique_ptr<ChildProcess> process;
  /// Set while the process is stopped by SIGSTOP.
  bool paused = false;
  /// Set from a kill or stop by the soak until the process is restarted.
  bool stopping = false;
  /// Whether the soak has stopped the process by SIGTERM.
  bool planned_stop = false;
  /// Whether the soak has killed or paused the process since its start.
  bool disturbed = false;
  /// Number of starts.
  int launches = 0;
};

}  // namespace hawthornwheel::soak
