#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "http_server.h"

namespace rig {

/// Forwards TCP connections to a target. While it is cut, no byte passes in
/// either direction and connections hang; held bytes are delivered afterwards.
class Proxy {
 public:
  Proxy(const std::string& ip, Address target);
  ~Proxy();

  const Address& At() const { return this->address; }

  /// Cuts all connections.
  void Cut(bool now_cut) { this->cut = now_cut; }

  /// Cuts the connections on which the client has sent `marker`, such as the
  /// name of a process, which its messages contain. Empty for none.
  void CutFrom(const std::string& marker);

  /// Closes all connections with a reset.
  void Reset();

 private:
  /// What the client of one connection has sent; shared by both directions.
  struct Link {
    std::mutex mutex;
    std::string sent;
  };

  void Accept();
  void Forward(int from, int to, Link& link, bool from_client);
  bool IsCut(Link& link);

  Address address;
  Address target;
  int listener = -1;
  std::atomic<bool> cut = false;
  std::string cut_marker;
  std::atomic<bool> stopping = false;
  std::atomic<int> threads = 0;
  std::mutex mutex;
  std::set<int> sockets;
  std::thread acceptor;
};

}  // namespace rig
