#pragma once

#include <sys/types.h>

#include <string>

namespace review {

/// Runs the daemon as a separate process, with the command of the deploy file
/// and settings filled in from its template.
class Dispatcher {
 public:
  struct Options {
    std::string name;
    std::string zone;
    /// Share of a core of the machine.
    std::string cpu_share;
    /// Loopback address of the machine.
    std::string ip;
    /// The same ports on all machines: callers, ready, metrics, peers.
    int first_port = 0;
    std::string seeds;
    std::string store;
    /// Folder for the settings and the log.
    std::string folder;
  };

  explicit Dispatcher(Options options);
  /// Kills the process.
  ~Dispatcher();

  void Start();
  void Signal(int signal) const;

  /// Kills the process and waits until it has ended.
  void Kill();

  /// Waits until the process is ready. Returns false after `timeout_ms`.
  bool AwaitReady(int timeout_ms) const;

  /// Returns whether the process has ended by itself.
  bool HasEnded();

  /// Returns the address for clients.
  std::string Front() const { return this->AddressAt(0); }

 private:
  std::string AddressAt(int offset) const;
  std::string WriteSettings() const;

  Options options;
  pid_t process = -1;
};

}  // namespace review
