// Entry point of the dispatcher process.

#include <fmt/format.h>
#include <glib-unix.h>
#include <glib.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "base/ini_file.h"
#include "base/logger.h"
#include "base/version.h"
#include "node/node.h"

ABSL_FLAG(std::string, settings, "", "Path of the settings file (INI).");
ABSL_FLAG(bool, check, false, "Checks the settings and exits.");

namespace hawthornwheel {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitStart = 4;

gboolean OnStopSignal(gpointer data) {
  static_cast<node::Node*>(data)->Stop();
  return G_SOURCE_CONTINUE;
}

gboolean OnDumpSignal(gpointer data) {
  fmt::print(stderr, "{}\n", static_cast<node::Node*>(data)->Dump());
  return G_SOURCE_CONTINUE;
}

int Run(node::NodeSettings settings) {
  base::SetLogLevel(base::ParseLogLevel(settings.log_level));
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  node::Node node(std::move(settings), [loop] { g_main_loop_quit(loop); });
  const auto started = node.Start();
  if (!started) {
    fmt::print(stderr, "hawthornwheeld: {}\n", started.GetError().detail);
    return kExitStart;
  }
  g_unix_signal_add(SIGTERM, OnStopSignal, &node);
  g_unix_signal_add(SIGINT, OnStopSignal, &node);
  g_unix_signal_add(SIGUSR1, OnDumpSignal, &node);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  return kExitOk;
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Dispatches tasks of callers to endpoints.\n"
      "  hawthornwheeld --settings=FILE [--check]\n"
      "Exit codes: 0 stopped in good order, 2 usage, 3 faulty settings, 4 an "
      "address could not be bound.");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return fmt::format("hawthornwheeld {}\n", base::kVersion);
  };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    fmt::print(stderr, "hawthornwheeld: --settings is missing\n");
    return kExitUsage;
  }
  std::ifstream file(path);
  if (!file) {
    fmt::print(stderr, "hawthornwheeld: {} cannot be read\n", path);
    return kExitSettings;
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  node::NodeSettingsReading reading = node::ReadNodeSettings(path, text);
  for (const base::IniFault& fault : reading.faults) {
    fmt::print(stderr, "{}\n", base::FormatFault(fault));
  }
  if (!reading.faults.empty()) return kExitSettings;
  if (absl::GetFlag(FLAGS_check)) return kExitOk;
  return Run(std::move(reading.settings));
}

}  // namespace
}  // namespace hawthornwheel

int main(int argc, char** argv) { return hawthornwheel::Main(argc, argv); }
