#include "rig/record.h"

namespace review {

Record::Record(const std::string& path)
    : start(std::chrono::steady_clock::now()), file(path) {}

void Record::Write(const std::string& line) {
  const std::int64_t now = this->NowMs();
  const std::lock_guard lock(this->mutex);
  this->file << now << " " << line << std::endl;
}

std::int64_t Record::NowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - this->start)
      .count();
}

}  // namespace review
