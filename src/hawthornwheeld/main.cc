// Entry point of the dispatcher process.

#include <fmt/format.h>
#include <glib-unix.h>
#include <glib.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "base/glib_clock.h"
#include "base/ini_file.h"
#include "base/log_sink.h"
#include "base/logger.h"
#include "base/settings_reader.h"
#include "base/signal_source.h"
#include "base/timer.h"
#include "base/version.h"
#include "node/node.h"
#include "node/platform_node.h"
#include "node/settings_watch.h"

ABSL_FLAG(std::string, settings, "", "Path of the settings file (INI).");
ABSL_FLAG(bool, check, false, "Checks the settings and exits.");

namespace hawthornwheel {
namespace {

constexpr base::Logger kLog("main");

// Values of the setting [process] platform: the project's own log, or the
// users' platform.
constexpr char kOwnLogPlatform[] = "own_log";
constexpr char kHostedPlatform[] = "hosted";

// Maximum time that a log line is buffered before it is written.
constexpr base::Duration kLogFlushInterval = std::chrono::milliseconds(250);

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitStart = 4;

void StopNode(node::Node& node, base::TimePoint) { node.Stop(); }

void StopNode(node::PlatformNode& node, base::TimePoint requested_at) {
  node.Stop(requested_at);
}

template <typename AnyNode>
gboolean OnDumpSignal(gpointer data) {
  fmt::print(stderr, "{}\n", static_cast<AnyNode*>(data)->Dump());
  return G_SOURCE_CONTINUE;
}

gboolean OnReloadSignal(gpointer data) {
  static_cast<node::SettingsWatch*>(data)->Check();
  return G_SOURCE_CONTINUE;
}

/// Holds the path and the text of the settings file.
struct SettingsFile {
  std::string path;
  std::string text;
};

// Runs the process until it is stopped. Returns the exit code. `reload`
// receives the text of the settings file when it has changed.
template <typename AnyNode, typename Settings>
int Run(Settings settings, const SettingsFile& file,
        const std::function<void(AnyNode&, const std::string&)>& reload) {
  base::SetLogLevel(base::ParseLogLevel(settings.log_level));
  base::GlibClock clock;
  base::LogSink sink(clock, STDOUT_FILENO, {});
  base::SetLogSink(&sink);
  base::Timer flush_timer(clock);
  flush_timer.StartPeriodic(kLogFlushInterval, [&sink] { sink.Flush(); });
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  AnyNode node(std::move(settings), [loop] { g_main_loop_quit(loop); });
  const auto started = node.Start();
  if (!started) {
    fmt::print(stderr, "hawthornwheeld: {}\n", started.GetError().detail);
    return kExitStart;
  }
  node::SettingsWatch watch(
      clock, file.path, file.text,
      [&node, &reload](const std::string& text) { reload(node, text); });
  watch.Start();
  const auto stop = [&node](base::TimePoint requested_at) {
    StopNode(node, requested_at);
  };
  const base::SignalSource terminate(SIGTERM, stop);
  const base::SignalSource interrupt(SIGINT, stop);
  g_unix_signal_add(SIGUSR1, OnDumpSignal<AnyNode>, &node);
  g_unix_signal_add(SIGHUP, OnReloadSignal, &watch);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  base::SetLogSink(nullptr);
  return kExitOk;
}

// Prints the faults of a settings file. Returns whether there are any.
template <typename Reading>
bool PrintFaults(const Reading& reading) {
  for (const base::IniFault& fault : reading.faults) {
    fmt::print(stderr, "{}\n", base::FormatFault(fault));
  }
  return !reading.faults.empty();
}

// Applies changed settings, or keeps the previous ones when the changed ones
// are invalid.
void ReloadPlatformNode(node::PlatformNode& node, const std::string& path,
                        const std::string& text) {
  const auto reading = node::PlatformNodeSettings::Read(path, text);
  if (!reading.faults.empty()) {
    node.RefuseReload(reading.faults);
    return;
  }
  base::SetLogLevel(base::ParseLogLevel(reading.settings.log_level));
  node.Reload(reading.settings);
}

int RunHosted(const SettingsFile& file) {
  auto reading = node::PlatformNodeSettings::Read(file.path, file.text);
  if (PrintFaults(reading)) return kExitSettings;
  if (absl::GetFlag(FLAGS_check)) return kExitOk;
  return Run<node::PlatformNode>(
      std::move(reading.settings), file,
      {[&file](node::PlatformNode& node, const std::string& text) {
        ReloadPlatformNode(node, file.path, text);
      }});
}

int RunOnOwnLog(const SettingsFile& file) {
  auto reading = node::ReadNodeSettings(file.path, file.text);
  if (PrintFaults(reading)) return kExitSettings;
  if (absl::GetFlag(FLAGS_check)) return kExitOk;
  return Run<node::Node>(std::move(reading.settings), file,
                         {[](node::Node&, const std::string&) {
                           kLog.Warning(
                               "Changed settings take effect at the next "
                               "start.");
                         }});
}

// Ignores SIGHUP until Run() handles it, because its default action ends the
// process. Changes are not missed: the settings are read after this call, and
// SettingsWatch reads them periodically.
void IgnoreReloadSignal() { std::signal(SIGHUP, SIG_IGN); }

// Runs before the static initialisers of the program and of its libraries,
// which take several milliseconds.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const before_initialisers)() = IgnoreReloadSignal;

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Dispatches tasks of callers to endpoints.\n"
      "  hawthornwheeld --settings=FILE [--check]\n"
      "Exit codes: 0 clean stop, 2 usage, 3 invalid settings, 4 an "
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
  const base::IniFile ini = base::IniFile::Parse(path, text);
  base::SettingsReader reader(ini);
  const std::string platform = reader.Text(
      "process", "platform", base::Presence::kOptional, kOwnLogPlatform);
  const SettingsFile settings{path, text};
  if (platform == kHostedPlatform) return RunHosted(settings);
  return RunOnOwnLog(settings);
}

}  // namespace
}  // namespace hawthornwheel

int main(int argc, char** argv) { return hawthornwheel::Main(argc, argv); }
