#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace rig {

using Clock = std::chrono::steady_clock;

/// Returns the milliseconds since the start of the program.
std::int64_t NowMs();

void SleepMs(std::int64_t ms);

/// Sleeps until NowMs() has reached `ms`.
void SleepUntilMs(std::int64_t ms);

/// Writes lines with the time in milliseconds to a file. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& line);

 private:
  std::mutex mutex;
  std::ofstream file;
};

}  // namespace rig
