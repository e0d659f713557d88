#pragma once

#include <string>

namespace hawthornwheel::soak {

/// A child process that forwards the connections of RemoteProxy objects. A run
/// with many dispatchers has more connections between them than one process may
/// have descriptors.
///
/// Commands are single messages `NAME PROXY [ARGUMENT]`; PROXY is a number.
class ProxyHost {
 public:
  /// Starts the child, which runs this program with the flag `--proxy_host`.
  ProxyHost();
  ProxyHost(const ProxyHost&) = delete;
  ProxyHost& operator=(const ProxyHost&) = delete;
  /// Ends the child.
  ~ProxyHost();

  /// Returns the number of a new proxy.
  int AddProxy() { return this->next_proxy++; }

  void Send(const std::string& command) const;

  /// Sends a command and waits for its answer.
  std::string Ask(const std::string& command) const;

  /// Runs the child: carries out the commands that arrive on its standard input
  /// until the other end is closed.
  static void Serve();

 private:
  int socket = -1;
  int pid = -1;
  int next_proxy = 0;
};

}  // namespace hawthornwheel::soak
