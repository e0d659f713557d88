// Runs real dispatcher processes on loopback, injects random faults from
// outside, and checks what callers and endpoints observe.

#include <fmt/format.h>
#include <glib.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "base/glib_clock.h"
#include "soak/proxy_host.h"
#include "soak/soak_run.h"

ABSL_FLAG(std::string, daemon, "", "Path of hawthornwheeld.");
ABSL_FLAG(std::string, folder, "soak-logs",
          "Folder for settings files and logs.");
ABSL_FLAG(std::uint64_t, seed, 1, "First seed.");
ABSL_FLAG(int, seeds, 1, "Number of seeds, run one after the other.");
ABSL_FLAG(int, seconds, 20, "Seconds during which one seed injects faults.");
ABSL_FLAG(int, domains, 3, "Number of failure domains.");
ABSL_FLAG(int, processes, 6, "Number of coordinators.");
ABSL_FLAG(int, entries, 3,
          "Number of entries, which hand over their jobs to a coordinator.");
ABSL_FLAG(int, endpoints, 12, "Number of endpoints.");
ABSL_FLAG(double, rate, 7, "Jobs per second.");
ABSL_FLAG(double, long_share, 0.15,
          "Share of the jobs that may run for much longer than declared and "
          "than their callers wait, until the faults end.");
ABSL_FLAG(bool, faults, true, "Whether faults are injected.");
ABSL_FLAG(bool, proxy_host, false,
          "Used by the soak itself: forwards connections for it.");

namespace hawthornwheel::soak {
namespace {

constexpr int kExitFindings = 1;
constexpr int kExitUsage = 2;

SoakOptions MakeOptions(std::uint64_t seed) {
  SoakOptions options;
  options.program = absl::GetFlag(FLAGS_daemon);
  options.folder = fmt::format("{}/{}", absl::GetFlag(FLAGS_folder), seed);
  options.seed = seed;
  options.domains = absl::GetFlag(FLAGS_domains);
  options.processes = absl::GetFlag(FLAGS_processes);
  options.entries = absl::GetFlag(FLAGS_entries);
  options.endpoints = absl::GetFlag(FLAGS_endpoints);
  options.jobs_per_second = absl::GetFlag(FLAGS_rate);
  options.long_share = absl::GetFlag(FLAGS_long_share);
  options.fault_duration = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  options.faults = absl::GetFlag(FLAGS_faults);
  return options;
}

bool RunSeed(std::uint64_t seed) {
  const SoakOptions options = MakeOptions(seed);
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  base::GlibClock clock;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  SoakRun run(clock, options, [loop] { g_main_loop_quit(loop); });
  run.Start();
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  fmt::print("seed={} {}\n", seed, run.Summary());
  for (const std::string& finding : run.Findings()) {
    fmt::print("seed={} finding: {}\n", seed, finding);
  }
  std::fflush(stdout);
  return run.Findings().empty();
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs real dispatchers under random faults.\n"
      "  soak --daemon=PATH [--seed=N] [--seeds=N] [--seconds=N]\n"
      "Exit codes: 0 no finding, 1 findings, 2 usage.");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (absl::GetFlag(FLAGS_proxy_host)) {
    ProxyHost::Serve();
    return 0;
  }
  if (absl::GetFlag(FLAGS_daemon).empty()) {
    fmt::print(stderr, "soak: --daemon is missing\n");
    return kExitUsage;
  }
  const std::uint64_t first = absl::GetFlag(FLAGS_seed);
  const auto count = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seeds));
  int failed = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    if (!RunSeed(seed)) ++failed;
  }
  fmt::print("{} passed, {} failed\n", count - failed, failed);
  return failed == 0 ? 0 : kExitFindings;
}

}  // namespace
}  // namespace hawthornwheel::soak

int main(int argc, char** argv) {
  return hawthornwheel::soak::Main(argc, argv);
}
