#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace rig {

/// Writes what was sent, answered and run to a file, one line for each event,
/// with the time since the start in milliseconds.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  std::int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - this->start)
        .count();
  }

  void Write(const std::string& line) {
    const std::lock_guard lock(this->mutex);
    this->file << this->NowMs() << " " << line << std::endl;
  }

 private:
  std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  std::mutex mutex;
  std::ofstream file;
};

}  // namespace rig
