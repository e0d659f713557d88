#include "support/keyed_store_client.h"

#include <chrono>
#include <utility>

namespace hawthornwheel::testing {
namespace {

using base::Error;
using base::ErrorKind;
using std::chrono::milliseconds;

constexpr base::Duration kAnswerDelay = milliseconds(4);

Error Unavailable() {
  return {ErrorKind::kLogUnavailable, "the store is unavailable"};
}

}  // namespace

KeyedStoreClient::KeyedStoreClient(KeyedStore& store, std::string name,
                                   ProcessClock& clock)
    : store(store), name(std::move(name)), clock(clock) {}

void KeyedStoreClient::RunAfter(base::Duration delay,
                                std::function<void()> callback) {
  this->store.clock.StartTimer(delay, this->clock.Guard(std::move(callback)));
}

void KeyedStoreClient::ReadNewest(
    catalog::Topic topic, const std::string& after_key,
    std::function<void(base::Result<catalog::StorePage>)> done) {
  this->RunAfter(kAnswerDelay, [this, topic, after_key, done] {
    ++this->store.reads;
    if (this->store.IsDown(this->name) || this->store.IsTopicDown(topic)) {
      done(Unavailable());
      return;
    }
    const auto& state = this->store.topics[topic];
    catalog::StorePage page;
    page.end_offset = state.end;
    for (auto item = state.newest.upper_bound(after_key);
         item != state.newest.end(); ++item) {
      page.records.push_back(item->second);
    }
    done(page);
  });
}

void KeyedStoreClient::ReadFrom(
    catalog::Topic topic, std::uint64_t offset, base::Duration wait,
    std::function<void(base::Result<std::vector<catalog::StoreRecord>>)> done) {
  this->RunAfter(kAnswerDelay, [this, topic, offset, wait, done] {
    ++this->store.reads;
    const auto& state = this->store.topics[topic];
    if (this->store.IsDown(this->name) || this->store.IsTopicDown(topic)) {
      done(Unavailable());
      return;
    }
    if (offset < state.first) {
      done(Error(ErrorKind::kLogRecordsLost, "records were deleted"));
      return;
    }
    std::vector<catalog::StoreRecord> records;
    for (const catalog::StoreRecord& record : state.records) {
      if (record.offset >= offset) records.push_back(record);
    }
    if (!records.empty() || wait <= base::Duration{0}) {
      done(records);
      return;
    }
    this->RunAfter(std::min(wait, base::Duration(milliseconds(20))),
                   [this, topic, offset, wait, done] {
                     this->ReadFrom(topic, offset, wait - milliseconds(20),
                                    done);
                   });
  });
}

void KeyedStoreClient::Append(catalog::Topic topic, const std::string& key,
                              const std::string& value,
                              std::function<void(base::Result<bool>)> done) {
  this->RunAfter(kAnswerDelay, [this, topic, key, value, done] {
    if (this->store.IsDown(this->name)) {
      done(Unavailable());
      return;
    }
    this->store.Write(topic, key, value);
    done(true);
  });
}

}  // namespace hawthornwheel::testing
