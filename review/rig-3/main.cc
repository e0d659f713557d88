#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <iostream>

#include "scenarios.h"

// rig SCENARIO RECORD: plays one scenario and writes its record. The variable
// TROUBLE=0 leaves the disruption out. Exit codes: 0 the rule held, 1 it was
// broken, 2 the scenario could not run.
int main(int argc, char** argv) {
  constexpr int kCannotRun = 2;
  // A scenario takes less than two minutes.
  constexpr unsigned kMaxSeconds = 115;
  if (argc != 3) return kCannotRun;
  alarm(kMaxSeconds);
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble =
      trouble == nullptr || std::strcmp(trouble, "0") != 0;
  std::string folder = std::filesystem::temp_directory_path() / "rig-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) return kCannotRun;
  int code = kCannotRun;
  try {
    rig::Record record(argv[2]);
    code = rig::Play(argv[1], with_trouble, folder, record);
    record.Write("exit code " + std::to_string(code));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
  }
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::cerr << "logs are in " << folder << std::endl;
  } else {
    std::filesystem::remove_all(folder);
  }
  return code;
}
