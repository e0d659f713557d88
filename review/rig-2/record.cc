#include "record.h"

#include <thread>

namespace rig {

std::int64_t NowMs() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               start)
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void SleepUntilMs(std::int64_t ms) {
  while (NowMs() < ms) SleepMs(1);
}

Record::Record(const std::string& path) : file(path) { NowMs(); }

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->file << NowMs() << ' ' << line << std::endl;
}

}  // namespace rig
