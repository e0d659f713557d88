// Entry point of the program for operators and callers.

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "absl/strings/ascii.h"
#include "base/version.h"
#include "command.h"

ABSL_FLAG(std::string, platform, "", "IP:port of the platform's service.");
ABSL_FLAG(std::string, entry, "", "IP:port of an entry VM for callers.");
ABSL_FLAG(std::string, admin, "", "IP:port of a process's operator interface.");
ABSL_FLAG(std::string, token_file, "", "File with the admin token.");
ABSL_FLAG(std::string, operator_name, "operator",
          "Name under which changes are published.");
ABSL_FLAG(std::string, team, "", "Team of a submitted job.");
ABSL_FLAG(std::string, service, "", "Service of a submitted job.");
ABSL_FLAG(std::string, urgency, "normal", "urgent, normal or bulk.");
ABSL_FLAG(std::string, key, "", "Submission key; empty to get one assigned.");
ABSL_FLAG(std::string, job_file, "", "File with a whole job as JSON.");
ABSL_FLAG(std::string, job, "", "Job whose log lines a report shows.");
ABSL_FLAG(std::string, out, "", "File that a report is written to.");
ABSL_FLAG(std::vector<std::string>, tasks, {},
          "Payloads of a submitted job, separated by commas.");
ABSL_FLAG(int, timeout_ms, 30000, "Timeout of a submitted job.");
ABSL_FLAG(bool, remove_missing, false,
          "Publishing removes services that have no file.");
ABSL_FLAG(bool, json, false, "Prints JSON.");

namespace hawthornwheel::ctl {
namespace {

constexpr char kUsage[] =
    "Operates hawthornwheel and submits jobs to it.\n"
    "  hawthornwheelctl check DIR\n"
    "  hawthornwheelctl publish DIR --platform=ADDRESS\n"
    "  hawthornwheelctl config show|history --platform=ADDRESS\n"
    "  hawthornwheelctl status --admin=ADDRESS\n"
    "  hawthornwheelctl dump ADDRESS\n"
    "  hawthornwheelctl submit --entry=ADDRESS --team=T --service=S "
    "--tasks=P,P\n"
    "  hawthornwheelctl cancel KEY --entry=ADDRESS\n"
    "  hawthornwheelctl report LOG_DIR [--job=ID] [--out=FILE]\n"
    "Exit codes: 0 done, 1 the job failed or a file has faults, 2 usage, 3 "
    "unreachable, 4 another operator has changed the configuration.";

CommandOptions ReadOptions() {
  CommandOptions options;
  options.platform_address = absl::GetFlag(FLAGS_platform);
  options.entry_address = absl::GetFlag(FLAGS_entry);
  options.admin_address = absl::GetFlag(FLAGS_admin);
  options.operator_name = absl::GetFlag(FLAGS_operator_name);
  // The flag uses the interface's word for an organisation.
  options.organisation = absl::GetFlag(FLAGS_team);
  options.service = absl::GetFlag(FLAGS_service);
  options.urgency = absl::GetFlag(FLAGS_urgency);
  options.key = absl::GetFlag(FLAGS_key);
  options.job_file = absl::GetFlag(FLAGS_job_file);
  options.job = absl::GetFlag(FLAGS_job);
  options.out = absl::GetFlag(FLAGS_out);
  options.tasks = absl::GetFlag(FLAGS_tasks);
  options.timeout_ms = absl::GetFlag(FLAGS_timeout_ms);
  options.remove_missing = absl::GetFlag(FLAGS_remove_missing);
  options.json = absl::GetFlag(FLAGS_json);
  return options;
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return fmt::format("hawthornwheelctl {}\n", base::kVersion);
  };
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> arguments(rest.begin() + 1, rest.end());
  if (arguments.empty()) {
    fmt::print(stderr, "{}\n", kUsage);
    return static_cast<int>(ExitCode::kUsage);
  }
  CommandOptions options = ReadOptions();
  const std::string token_file = absl::GetFlag(FLAGS_token_file);
  if (!token_file.empty()) {
    std::ifstream file(token_file);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    options.token = std::string(absl::StripAsciiWhitespace(text));
  }
  return static_cast<int>(RunCommand(arguments, options));
}

}  // namespace
}  // namespace hawthornwheel::ctl

int main(int argc, char** argv) { return hawthornwheel::ctl::Main(argc, argv); }
