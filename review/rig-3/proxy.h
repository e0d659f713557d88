#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>

namespace rig {

/// Forwards TCP connections to one address. While it is cut, nothing passes and
/// no connection is accepted; bytes wait, as behind a partition.
class Proxy {
 public:
  /// Listens on a free port of `ip`.
  Proxy(const std::string& ip, std::uint16_t target_port);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  const std::string& Address() const { return this->address; }
  void SetCut(bool new_cut) { this->cut = new_cut; }

 private:
  struct Link {
    int client = -1;
    int server = -1;
    std::string to_server;
    std::string to_client;
    bool ended = false;
  };

  void Run();
  void AcceptOne();
  static void Pump(short events, int descriptor, std::string* received,
                   std::string* to_send, bool* ended);

  std::string ip;
  std::uint16_t target_port;
  std::string address;
  int listener = -1;
  std::atomic<bool> cut{false};
  std::atomic<bool> stopping{false};
  std::list<Link> links;
  std::thread thread;
};

}  // namespace rig
