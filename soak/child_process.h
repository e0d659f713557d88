#pragma once

#include <sys/types.h>

#include <string>

namespace hawthornwheel::soak {

/// Runs a dispatcher as a child process and signals it by its process id.
class ChildProcess {
 public:
  /// Starts `program` with a settings file. Its standard output and standard
  /// error are appended to `log_file`.
  ChildProcess(const std::string& program, const std::string& settings_file,
               const std::string& log_file);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  /// Kills the process with SIGKILL if it is still running.
  ~ChildProcess();

  /// Sends a signal to the process; does nothing once it has ended.
  void Signal(int number) const;

  /// Returns whether the process has not ended; collects its exit status when
  /// it has.
  bool IsRunning();

  /// Returns the exit status as reported by waitpid(); valid once IsRunning()
  /// returns false.
  int Status() const { return this->status; }

 private:
  pid_t pid = -1;
  int status = 0;
};

}  // namespace hawthornwheel::soak
