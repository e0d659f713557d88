#include "support/keyed_store.h"

namespace hawthornwheel::testing {

void KeyedStore::Write(catalog::Topic topic, const std::string& key,
                       const std::string& value) {
  TopicState& state = this->topics[topic];
  const catalog::StoreRecord record{key, value, state.end++};
  state.records.push_back(record);
  if (value.empty()) {
    state.newest.erase(key);
  } else {
    state.newest[key] = record;
  }
}

void KeyedStore::Compact(catalog::Topic topic) {
  TopicState& state = this->topics[topic];
  state.records.clear();
  state.first = state.end;
}

void KeyedStore::SetDown(const std::string& client, bool is_down) {
  if (is_down) {
    this->down.insert(client);
  } else {
    this->down.erase(client);
  }
}

void KeyedStore::SetTopicDown(catalog::Topic topic, bool is_down) {
  if (is_down) {
    this->topics_down.insert(topic);
  } else {
    this->topics_down.erase(topic);
  }
}

bool KeyedStore::IsDown(const std::string& client) const {
  return this->down.contains("") || this->down.contains(client);
}

}  // namespace hawthornwheel::testing
