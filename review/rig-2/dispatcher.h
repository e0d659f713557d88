#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "http_server.h"

namespace rig {

/// One process of the deploy file's role, with settings as the template of the
/// deploy file makes them.
class Dispatcher {
 public:
  struct Settings {
    std::string name;
    std::string zone;
    std::string ip;
    double cpu_share = 0.25;
    int peer_port = 0;
    /// Address under which the peers reach it; empty for its own.
    std::string advertise;
    /// Addresses of other processes, with any port.
    std::vector<std::string> seeds;
    Address front;
    Address ready;
    Address metrics;
    Address store;
    /// graceS, as the platform writes it.
    std::string grace_s = "6";
  };

  /// `folder` receives the settings file and the log.
  Dispatcher(Settings settings, std::string program, std::string folder);
  ~Dispatcher();

  /// Writes the settings file anew, with another graceS.
  void ChangeGrace(const std::string& grace_s);

  void Launch();
  void Signal(int number) const;
  /// Sends SIGKILL and waits for the end of the process.
  void Kill();
  /// Returns whether the process is running.
  bool IsRunning();
  /// Returns the exit code of the process, or -1 while it runs or after a
  /// signal.
  int ExitCode() const { return this->exit_code; }
  /// Waits until `GET /ready` answers 200. Returns false after `timeout_ms`.
  bool AwaitReady(int timeout_ms) const;
  /// Returns the status of `GET /ready`, or 0.
  int Ready() const;

  const Settings& Config() const { return this->settings; }

 private:
  void WriteSettings() const;

  Settings settings;
  std::string program;
  std::string folder;
  pid_t pid = -1;
  int exit_code = -1;
};

}  // namespace rig
