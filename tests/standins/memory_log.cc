#include "standins/memory_log.h"

#include <algorithm>
#include <utility>

namespace hawthornwheel::standins {

std::uint64_t MemoryLog::Append(std::string data, std::int64_t now_ms) {
  this->Expire(now_ms);
  wire::StoredRecord& record = this->records.emplace_back();
  record.set_offset(this->earliest + this->records.size() - 1);
  record.set_data(std::move(data));
  record.set_appended_ms(now_ms);
  return record.offset();
}

wire::ReadAnswer MemoryLog::Read(std::uint64_t offset, int max_records) const {
  wire::ReadAnswer answer;
  answer.set_earliest(this->earliest);
  answer.set_next(this->NextOffset());
  answer.set_retention_ms(this->retention_ms);
  if (offset < this->earliest) return answer;
  for (std::uint64_t at = offset - this->earliest; at < this->records.size();
       ++at) {
    if (answer.records_size() >= max_records) break;
    *answer.add_records() = this->records[at];
  }
  return answer;
}

void MemoryLog::Expire(std::int64_t now_ms) {
  while (!this->records.empty() &&
         this->records.front().appended_ms() + this->retention_ms < now_ms) {
    this->records.pop_front();
    ++this->earliest;
  }
}

void MemoryLog::DropBelow(std::uint64_t offset) {
  while (!this->records.empty() && this->earliest < offset) {
    this->records.pop_front();
    ++this->earliest;
  }
}

void MemoryLog::SetRetention(std::int64_t retention_ms) {
  this->retention_ms = retention_ms;
}

}  // namespace hawthornwheel::standins
