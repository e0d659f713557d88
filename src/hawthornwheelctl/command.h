#pragma once

#include <string>
#include <vector>

namespace hawthornwheel::ctl {

/// Holds the flags of the command line.
struct CommandOptions {
  /// `IP:port` of the platform's service.
  std::string platform_address;
  /// `IP:port` of an entry VM for callers.
  std::string entry_address;
  /// `IP:port` of the operator interface of a process.
  std::string admin_address;
  /// Admin token.
  std::string token;
  std::string operator_name;
  std::string organisation;
  std::string service;
  /// `urgent`, `normal` or `bulk`.
  std::string urgency;
  /// Submission key; empty to get one assigned.
  std::string key;
  /// File with a whole job as JSON. Submitted instead of a job that is built
  /// from the other options.
  std::string job_file;
  /// Job whose log lines the report shows.
  std::string job;
  /// File that the report is written to; empty for standard output.
  std::string out;
  /// Payloads of the tasks of a submitted job.
  std::vector<std::string> tasks;
  int timeout_ms = 0;
  /// Whether publishing removes services that have no file.
  bool remove_missing = false;
  /// Whether JSON is printed.
  bool json = false;
};

/// Exit codes of the program.
enum class ExitCode {
  kOk = 0,
  /// The job failed, a service file has faults, or another error occurred that
  /// has no exit code of its own.
  kFailed = 1,
  kUsage = 2,
  /// A process or the platform could not be reached or answered with an
  /// unexpected HTTP status.
  kUnreachable = 3,
  /// Another operator has changed the configuration in the meantime.
  kConflict = 4,
};

/// Runs one command. `arguments` holds its name, followed by its operand if it
/// has one.
ExitCode RunCommand(const std::vector<std::string>& arguments,
                    const CommandOptions& options);

}  // namespace hawthornwheel::ctl
