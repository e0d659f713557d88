#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Writes one line per event to the record of a case, with the milliseconds
/// since the start of the case. Safe for use by several threads.
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& line);

  /// Returns the milliseconds since the start of the case.
  std::int64_t NowMs() const;

 private:
  std::chrono::steady_clock::time_point start;
  std::mutex mutex;
  std::ofstream file;
};

}  // namespace review
