#pragma once

#include <string>
#include <vector>

namespace hawthornwheel::ctl {

/// What the command line asks for.
struct CommandOptions {
  std::string platform_address;
  std::string entry_address;
  std::string admin_address;
  std::string token;
  std::string operator_name;
  std::string organisation;
  std::string service;
  std::string urgency;
  std::string key;
  std::string job_file;
  /// Job whose path a report shows.
  std::string job;
  /// File that a report is written to; empty for standard output.
  std::string out;
  std::vector<std::string> tasks;
  int timeout_ms = 0;
  bool remove_missing = false;
  bool json = false;
};

/// Exit codes of the program.
enum class ExitCode {
  kOk = 0,
  /// The job failed, or a service file has faults.
  kFailed = 1,
  kUsage = 2,
  /// A process or the platform could not be reached.
  kUnreachable = 3,
  /// Another operator was faster.
  kConflict = 4,
};

/// Runs one command; `arguments` starts with its name.
ExitCode RunCommand(const std::vector<std::string>& arguments,
                    const CommandOptions& options);

}  // namespace hawthornwheel::ctl
